/* The names and values of the wire protocol. Many differ from the terms that the code uses, so each
 * is defined here once under the code's term: RR_WORD_<term> for a field or a value, RR_PATH_<term>
 * for a path. They appear in messages to and from users, workers, the cloud and the key-value
 * store, and in stored records that have the form of such a message. Changing one changes the
 * protocol.
 *
 * Names that are the same in the code and on the wire (mem_gb, price, one_zone) are listed, too, as
 * encoders and decoders must agree on them. */
#ifndef RR_WIRE_WIRE_WORDS_H
#define RR_WIRE_WIRE_WORDS_H

/* ---- Identity and placement constraints, in submissions, heartbeats and lists of machines ---- */
#define RR_WORD_JOB_ID "ref"
#define RR_WORD_JOB_CLASS "lane"
#define RR_WORD_TEAM "crew"
#define RR_WORD_JOB_KIND "shape"
#define RR_WORD_PRIORITY "rank"
#define RR_WORD_TASKS "pieces" /* a count in submissions, a list in heartbeats */
#define RR_WORD_TASK "piece"   /* a task name: "job id/number" */
#define RR_WORD_ATTEMPT "try"
#define RR_WORD_MACHINE "stone"
#define RR_WORD_MACHINES "stones"
#define RR_WORD_MACHINE_TYPE "build"
#define RR_WORD_MACHINE_TYPES "builds"
#define RR_WORD_ADDRESS "addr"
#define RR_WORD_ZONE "ward"
#define RR_WORD_ZONES "wards"
#define RR_WORD_ONE_ZONE "one_zone"
#define RR_WORD_SPREAD "apart" /* over zones */
#define RR_WORD_SPOT "loaners"
#define RR_WORD_IMAGE "cast"
#define RR_WORD_STATE "standing" /* of a job, a task or a listed machine */

/* ---- Resources and durations ---- */
#define RR_WORD_CPUS "vcpus"
#define RR_WORD_GPUS "cards"
#define RR_WORD_MEM_GB "mem_gb"
#define RR_WORD_IMAGE_SIZE_GB "pull_gb"
#define RR_WORD_RUNTIME_ESTIMATE_S "guess_s"
#define RR_WORD_CHECKPOINT_INTERVAL_S "cairn_s"
#define RR_WORD_CHECKPOINT_SAVE_S "stash_s"
#define RR_WORD_DEADLINE_S "due_s"

/* ---- Values: kinds and priorities of jobs ---- */
#define RR_WORD_KIND_ARRAY "batch"
#define RR_WORD_KIND_SERVICE "service"
#define RR_WORD_KIND_GANG "group"
#define RR_WORD_PRIORITY_LOW "low"
#define RR_WORD_PRIORITY_STANDARD "standard"
#define RR_WORD_PRIORITY_HIGH "high"
#define RR_WORD_PRIORITY_PROD "prod"

/* ---- Values: states of jobs, tasks and listed machines ----
 *
 * RR_WORD_DONE and RR_WORD_RUNNING also name counts of tasks. */
#define RR_WORD_QUEUED "queued"
#define RR_WORD_RUNNING "running"
#define RR_WORD_DONE "done"
#define RR_WORD_CANCELLED "aborted"
#define RR_WORD_FETCHING "fetching"
#define RR_WORD_SAVING "flushing"
#define RR_WORD_ENDED "ended"
#define RR_WORD_WAITING "waiting"
#define RR_WORD_FAILED "failed" /* also names the list of keys whose guards did not hold */

/* ---- Values: why a task ended ---- */
#define RR_WORD_EXIT_STOPPED "halted"
#define RR_WORD_EXIT_ERROR "error"
#define RR_WORD_EXIT_NO_RESOURCES "full"
#define RR_WORD_EXIT_ATTEMPT_CONFLICT "in_use"
#define RR_WORD_EXIT_UNKNOWN_TASK "no_such"
#define RR_WORD_EXIT_GANG_PEER_LOST "peers"
#define RR_WORD_EXIT_GANG_INCOMPLETE "incomplete"

/* ---- Workers: heartbeats and commands ---- */
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
#define RR_WORD_REDIRECT "answers_to" /* in a 421: the controller to send to instead */
#define RR_PATH_HEARTBEAT "/hello"
#define RR_PATH_COMMANDS "/do"
#define RR_PATH_WORKER_STATUS "/status"

/* ---- Cloud: catalogue, rentals, list of machines ---- */
#define RR_WORD_TYPE_NAME "sku" /* of a machine type */
#define RR_WORD_IMAGE_CACHE_GB "cache_gb"
#define RR_WORD_IMAGE_PULL_GB_PER_S "pull_gb_per_s"
#define RR_WORD_PRICE "price"
#define RR_WORD_SPOT_PRICE "spot_price"
#define RR_WORD_STARTUP_S "startup_s"
#define RR_WORD_RENTAL "hire"
#define RR_WORD_RENTAL_COUNT "how_many"
#define RR_WORD_LISTED_ID RR_WORD_JOB_ID /* the name of a listed machine */
#define RR_WORD_AGE_S "age_s"
#define RR_PATH_CATALOG "/catalog"
#define RR_PATH_MACHINES "/machines"
#define RR_PATH_RELEASE "/machines/release"
#define RR_WORD_NO_CAPACITY "no capacity" /* error text of a refused rental */

/* ---- Key-value store ---- */
#define RR_WORD_KEY "path"
#define RR_WORD_VALUE "v"
#define RR_WORD_VERSION "mark"    /* of a key: the store's revision at its last change */
#define RR_WORD_REVISION "epoch"  /* of the store: a counter of all its changes */
#define RR_WORD_LEASE_ID "tether" /* the lease that a key is attached to */
#define RR_WORD_LEASE_MS "life_ms"
#define RR_WORD_ROWS "rows"
#define RR_WORD_MORE "more" /* whether more pages follow; in the cloud's list, too */
#define RR_WORD_CHANGE_LOG "log"
#define RR_WORD_GUARDS "guards"
#define RR_WORD_CHANGES "apply"
#define RR_WORD_PUT "put"
#define RR_WORD_DELETE "delete"
#define RR_WORD_ERROR "error"            /* error text, of the store and of the cloud */
#define RR_WORD_NO_LEASE "no such lease" /* error text of a put with an ended lease */
#define RR_WORD_PREFIX "starts"
#define RR_WORD_FROM "from" /* the key, machine or revision to start after */
#define RR_WORD_LIMIT "limit"
#define RR_WORD_WATCH_MS "hold_ms"
#define RR_PATH_STORE "/store"
#define RR_PATH_COMMIT "/commit"
#define RR_PATH_LEASES "/holds"
#define RR_PATH_RENEW "/renew" /* appended to the path of a lease */
#define RR_PATH_WATCH "/watch"

#endif
