/* The thread of an outgoing link: collects what waits for the peer and sends it over a connection,
 * which it replaces when the peer does not confirm that frames arrive. */
#include "peer/link.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "peer/stream.h"

#include <errno.h>
#include <unistd.h>

/* Part of a heartbeat interval for which the link waits for more output to send along. */
#define COLLECT_PART 0.0125
#define DIGEST_INTERVAL_S 0.5
#define CONFIRM_TIMEOUT_MAX_S 30.0
#define DIAL_TIMEOUT_S 1.0
#define RETRY_PAUSE_STEPS 5 /* of STOP_CHECK_S */
#define STOP_CHECK_S 0.1

void rr_peer_link_init(struct rr_peer_link *link, rr_peers *owner, int index,
                       const pthread_condattr_t *steady) {
    link->owner = owner;
    link->index = index;
    g_queue_init(&link->heartbeats);
    pthread_cond_init(&link->wake, steady);
    for (int hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        link->digests[hops] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    }
    link->suspects = g_ptr_array_new_with_free_func(g_free);
    link->cancellations = rr_cancellations_create();
    link->confirm_timeout_s = RR_PEER_RECEIVED_S;
}

void rr_peer_link_clear(struct rr_peer_link *link) {
    g_queue_clear_full(&link->heartbeats, (GDestroyNotify)g_bytes_unref);
    for (int hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        g_hash_table_destroy(link->digests[hops]);
    }
    g_ptr_array_free(link->suspects, TRUE);
    rr_cancellations_destroy(link->cancellations);
    g_clear_pointer(&link->demand, g_bytes_unref);
    pthread_cond_destroy(&link->wake);
}

static void wait_until(pthread_cond_t *condition, pthread_mutex_t *mutex, double until) {
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(condition, mutex, &time);
}

/* Waits until there is something to send or digests are due. */
static void wait_for_output(struct rr_peer_link *link, double digests_sent_at) {
    rr_peers *peers = link->owner;
    pthread_mutex_lock(&peers->lock);
    while (!atomic_load(peers->stop) && !rr_peer_link_has_output(link, rr_steady_clock_s()) &&
           rr_steady_clock_s() - digests_sent_at < DIGEST_INTERVAL_S) {
        wait_until(&link->wake, &peers->lock, digests_sent_at + DIGEST_INTERVAL_S);
    }
    bool has_output = rr_peer_link_has_output(link, rr_steady_clock_s());
    pthread_mutex_unlock(&peers->lock);
    if (has_output) {
        rr_sleep(COLLECT_PART * peers->config->heartbeat_interval_s);
    }
}

/* Waits for output and moves it to `frames`. False: the peers are stopped. */
static bool collect(struct rr_peer_link *link, GByteArray *frames, double *digests_sent_at) {
    rr_peers *peers = link->owner;
    wait_for_output(link, *digests_sent_at);
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    bool digests_due = now - *digests_sent_at >= DIGEST_INTERVAL_S;
    if (digests_due) {
        *digests_sent_at = now;
    }
    rr_peer_link_take_output(link, digests_due, frames);
    pthread_mutex_unlock(&peers->lock);
    return !atomic_load(peers->stop);
}

/* Drops what waits. A heartbeat that waited for the peer to come back would pass for a fresh one
 * there, and a dead machine for a live one. */
static void discard_output(struct rr_peer_link *link) {
    pthread_mutex_lock(&link->owner->lock);
    g_queue_clear_full(&link->heartbeats, (GDestroyNotify)g_bytes_unref);
    for (int hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        g_hash_table_remove_all(link->digests[hops]);
    }
    g_ptr_array_set_size(link->suspects, 0);
    g_clear_pointer(&link->demand, g_bytes_unref);
    link->generation++;
    pthread_mutex_unlock(&link->owner->lock);
}

/* Whether the connection has to be replaced because the peer does not confirm it. After a network
 * partition a connection may accept all that is sent and deliver nothing, without a reset. So the
 * peer has to report that it receives from us; where it does not, or where nothing is received from
 * it, connections are replaced at growing intervals. */
static bool is_unconfirmed(struct rr_peer_link *link, double now) {
    rr_peers *peers = link->owner;
    pthread_mutex_lock(&peers->lock);
    bool confirmed = rr_peer_received_lately(link, now) && link->peer_receives_us;
    bool timed_out = !confirmed && now - link->connected_at > link->confirm_timeout_s;
    if (confirmed) {
        link->confirm_timeout_s = RR_PEER_RECEIVED_S;
    } else if (timed_out) {
        link->confirm_timeout_s = MIN(2 * link->confirm_timeout_s, CONFIRM_TIMEOUT_MAX_S);
    }
    pthread_mutex_unlock(&peers->lock);
    return timed_out;
}

/* Connects and says hello. 0 with the socket in *fd, also if only the hello failed; or -EIO. */
static int connect_to_peer(struct rr_peer_link *link, int *fd) {
    rr_peers *peers = link->owner;
    *fd = rr_peer_dial(NULL, &peers->config->peers[link->index].endpoint, DIAL_TIMEOUT_S);
    if (*fd < 0) {
        return -EIO;
    }
    pthread_mutex_lock(&peers->lock);
    link->connected_at = rr_steady_clock_s();
    pthread_mutex_unlock(&peers->lock);
    GByteArray *hello = g_byte_array_new();
    rr_peer_put_hello(peers, hello);
    int rc = rr_peer_send(*fd, hello->data, hello->len);
    g_byte_array_free(hello, TRUE);
    return rc;
}

/* Sends the frames, over a new connection if there is none (*fd < 0). 0 or -EIO. */
static int send_frames(struct rr_peer_link *link, int *fd, const GByteArray *frames) {
    int rc = *fd < 0 ? connect_to_peer(link, fd) : 0;
    return rc == 0 ? rr_peer_send(*fd, frames->data, frames->len) : rc;
}

static void close_connection(const struct rr_peer_link *link, int *fd, bool unconfirmed) {
    if (*fd >= 0) {
        close(*fd);
        rr_log(RR_INFO_LEVEL, "link to %s lost%s", link->owner->config->peers[link->index].name,
               unconfirmed ? ": it does not confirm that it receives from this controller" : "");
    }
    *fd = -1;
}

static void pause_before_retry(const struct rr_peer_link *link) {
    for (int i = 0; i < RETRY_PAUSE_STEPS && !atomic_load(link->owner->stop); i++) {
        rr_sleep(STOP_CHECK_S);
    }
}

void *rr_peer_link_main(void *arg) {
    struct rr_peer_link *link = arg;
    rr_usage_enter(RR_USAGE_PEERS);
    GByteArray *frames = g_byte_array_new();
    double digests_sent_at = 0;
    int fd = -1;
    while (collect(link, frames, &digests_sent_at)) {
        bool unconfirmed = fd >= 0 && is_unconfirmed(link, rr_steady_clock_s());
        if (unconfirmed || send_frames(link, &fd, frames) != 0) {
            close_connection(link, &fd, unconfirmed);
            discard_output(link);
            pause_before_retry(link);
        }
        g_byte_array_set_size(frames, 0);
    }
    if (fd >= 0) {
        close(fd);
    }
    g_byte_array_free(frames, TRUE);
    rr_usage_leave();
    return NULL;
}
