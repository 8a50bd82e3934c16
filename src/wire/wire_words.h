/* The words of the wire, each once, beside the term that the code uses for it: RR_WORD_<term> for
 * fields and values, RR_PATH_<term> for paths. They belong to messages to users, workers, the cloud
 * and the key-value store, and to stored records that have the form of such a message. Changing one
 * changes the protocol.
 *
 * A word that is already the code's term (mem_gb, price, one_zone) stands here too, as encoders and
 * decoders must agree on it. */
#ifndef RR_WIRE_WIRE_WORDS_H
#define RR_WIRE_WIRE_WORDS_H

/* ---- identity and placement constraints: submissions, heartbeats, machines ---- */
#define RR_WORD_JOB_ID "ref"
#define RR_WORD_JOB_CLASS "lane"
#define RR_WORD_TEAM "crew"
#define RR_WORD_JOB_KIND "shape"
#define RR_WORD_PRIORITY "rank"
#define RR_WORD_TASKS "pieces" /* a count or a list */
#define RR_WORD_TASK "piece"
#define RR_WORD_ATTEMPT "try"
#define RR_WORD_MACHINE "stone"
#define RR_WORD_MACHINES "stones"
#define RR_WORD_MACHINE_TYPE "build"
#define RR_WORD_MACHINE_TYPES "builds"
#define RR_WORD_ADDRESS "addr"
#define RR_WORD_ZONE "ward"
#define RR_WORD_ZONES "wards"
#define RR_WORD_ONE_ZONE "one_zone"
#define RR_WORD_SPREAD "apart"
#define RR_WORD_SPOT "loaners"
#define RR_WORD_IMAGE "cast"
#define RR_WORD_STATE "standing"

/* ---- resources and durations ---- */
#define RR_WORD_CPUS "vcpus"
#define RR_WORD_GPUS "cards"
#define RR_WORD_MEM_GB "mem_gb"
#define RR_WORD_IMAGE_SIZE_GB "pull_gb"
#define RR_WORD_RUNTIME_ESTIMATE_S "guess_s"
#define RR_WORD_CHECKPOINT_S "cairn_s"
#define RR_WORD_SAVE_S "stash_s"
#define RR_WORD_DEADLINE_S "due_s"

/* ---- values: kinds and priorities of jobs ---- */
#define RR_WORD_KIND_ARRAY "batch"
#define RR_WORD_KIND_SERVICE "service"
#define RR_WORD_KIND_GANG "group"
#define RR_WORD_PRIORITY_LOW "low"
#define RR_WORD_PRIORITY_STANDARD "standard"
#define RR_WORD_PRIORITY_HIGH "high"
#define RR_WORD_PRIORITY_PROD "prod"

/* ---- values: states of jobs, tasks and listed machines; done and running are also counts ---- */
#define RR_WORD_QUEUED "queued"
#define RR_WORD_RUNNING "running"
#define RR_WORD_DONE "done"
#define RR_WORD_CANCELLED "aborted"
#define RR_WORD_FETCHING "fetching"
#define RR_WORD_SAVING "flushing"
#define RR_WORD_ENDED "ended"
#define RR_WORD_WAITING "waiting"
#define RR_WORD_FAILED "failed" /* also: the keys whose guards did not hold */

/* ---- values: why a task ended ---- */
#define RR_WORD_EXIT_STOPPED "halted"
#define RR_WORD_EXIT_ERROR "error"
#define RR_WORD_EXIT_FULL "full"
#define RR_WORD_EXIT_IN_USE "in_use"
#define RR_WORD_EXIT_NO_SUCH "no_such"
#define RR_WORD_EXIT_PEERS "peers"
#define RR_WORD_EXIT_INCOMPLETE "incomplete"

/* ---- workers: heartbeats and commands ---- */
#define RR_WORD_WORKER_EPOCH "tenure"
#define RR_WORD_SEQUENCE "tally"
#define RR_WORD_FENCING_TOKEN "warrant"
#define RR_WORD_SPOT_NOTICE_S "recall_s"
#define RR_WORD_EXIT_REASON "cause"
#define RR_WORD_COMMANDS "orders"
#define RR_WORD_COMMAND_KIND "verb"
#define RR_WORD_COMMAND_START "start"
#define RR_WORD_COMMAND_STOP "stop"
#define RR_WORD_COMMAND_REAP "reap"
#define RR_WORD_GRACE_S "leave_s"
#define RR_WORD_REDIRECT "answers_to" /* of a 421: the controller to turn to */
#define RR_PATH_HEARTBEAT "/hello"
#define RR_PATH_COMMANDS "/do"
#define RR_PATH_WORKER_STATUS "/status"

/* ---- cloud: catalogue, rentals, list of machines ---- */
#define RR_WORD_TYPE_NAME "sku"
#define RR_WORD_CACHE_GB "cache_gb"
#define RR_WORD_PULL_RATE "pull_gb_per_s"
#define RR_WORD_PRICE "price"
#define RR_WORD_SPOT_PRICE "spot_price"
#define RR_WORD_STARTUP_S "startup_s"
#define RR_WORD_RENTAL "hire"
#define RR_WORD_RENTAL_COUNT "how_many"
#define RR_WORD_LISTED_ID RR_WORD_JOB_ID /* a listed machine's name */
#define RR_WORD_AGE_S "age_s"
#define RR_PATH_CATALOG "/catalog"
#define RR_PATH_MACHINES "/machines"
#define RR_PATH_RELEASE "/machines/release"
#define RR_WORD_NO_CAPACITY "no capacity" /* the error of a refused rental */

/* ---- key-value store ---- */
#define RR_WORD_KEY "path"
#define RR_WORD_VALUE "v"
#define RR_WORD_VERSION "mark"    /* of a key: the revision of its last change */
#define RR_WORD_REVISION "epoch"  /* of the store: counts all changes */
#define RR_WORD_LEASE_ID "tether" /* of the lease that a key is attached to */
#define RR_WORD_LEASE_MS "life_ms"
#define RR_WORD_ROWS "rows"
#define RR_WORD_MORE "more" /* pages; the cloud's list has it, too */
#define RR_WORD_CHANGE_LOG "log"
#define RR_WORD_GUARDS "guards"
#define RR_WORD_CHANGES "apply"
#define RR_WORD_PUT "put"
#define RR_WORD_DELETE "delete"
#define RR_WORD_ERROR "error"            /* what went wrong, as text; the cloud's, too */
#define RR_WORD_NO_LEASE "no such lease" /* the error of a put with an ended lease */
#define RR_WORD_PREFIX "starts"
#define RR_WORD_FROM "from" /* a key, a machine or a revision to start after */
#define RR_WORD_LIMIT "limit"
#define RR_WORD_WATCH_MS "hold_ms"
#define RR_PATH_STORE "/store"
#define RR_PATH_COMMIT "/commit"
#define RR_PATH_LEASES "/holds"
#define RR_PATH_RENEW "/renew" /* below a lease's own path */
#define RR_PATH_WATCH "/watch"

#endif
