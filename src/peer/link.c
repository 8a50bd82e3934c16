/* The thread of an outgoing link. It sends the queued output over one connection to the peer, and
 * replaces the connection when the peer does not confirm that frames arrive. */
#include "peer/link.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "peer/stream.h"

#include <errno.h>
#include <unistd.h>

/* Delay after the first output, so that more can be sent with it; in heartbeat intervals. */
#define BATCH_DELAY_INTERVALS 0.0125
#define DIGEST_INTERVAL_S 0.5      /* between the periodic digests */
#define CONFIRM_TIMEOUT_MAX_S 30.0 /* upper bound of the timeout, which doubles on expiry */
#define CONNECT_TIMEOUT_S 1.0
#define STOP_CHECK_S 0.1     /* interval between checks of the stop flag during a pause */
#define RETRY_PAUSE_CHECKS 5 /* pause before reconnecting, in units of STOP_CHECK_S */

void rr_peer_link_init(struct rr_peer_link *link, rr_peers *peers, int index,
                       const pthread_condattr_t *steady) {
    link->peers = peers;
    link->index = index;
    g_queue_init(&link->heartbeats);
    pthread_cond_init(&link->wake, steady);
    for (int hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        link->digests[hops] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    }
    link->suspects = g_ptr_array_new_with_free_func(g_free);
    link->cancellations = rr_cancellations_create();
    link->confirm_timeout_s = RR_PEER_RECEIVED_TIMEOUT_S;
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

/* Waits for a signal or until the deadline (steady clock). The caller holds the mutex. */
static void wait_on_condition(pthread_cond_t *condition, pthread_mutex_t *mutex, double deadline) {
    struct timespec time = {(time_t)deadline, (long)((deadline - (double)(time_t)deadline) * 1e9)};
    pthread_cond_timedwait(condition, mutex, &time);
}

/* Waits until output is queued, digests are due or the peers are stopped. After output was queued,
 * waits for BATCH_DELAY_INTERVALS more, without the lock. */
static void wait_for_output(struct rr_peer_link *link, double digests_sent_at) {
    rr_peers *peers = link->peers;
    pthread_mutex_lock(&peers->lock);
    while (!atomic_load(peers->stop) && !rr_peer_link_has_output(link, rr_steady_clock_s()) &&
           rr_steady_clock_s() - digests_sent_at < DIGEST_INTERVAL_S) {
        wait_on_condition(&link->wake, &peers->lock, digests_sent_at + DIGEST_INTERVAL_S);
    }
    bool has_output = rr_peer_link_has_output(link, rr_steady_clock_s());
    pthread_mutex_unlock(&peers->lock);
    if (has_output) {
        rr_sleep(BATCH_DELAY_INTERVALS * peers->config->heartbeat_interval_s);
    }
}

/* Waits for output and moves it to `frames`. Returns false once the peers are stopped. */
static bool collect_frames(struct rr_peer_link *link, GByteArray *frames, double *digests_sent_at) {
    rr_peers *peers = link->peers;
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

/* Drops all queued output but cancellations, and begins a new delivery generation. A heartbeat that
 * stayed queued until the peer is reachable again would be taken there for a recent one, and a dead
 * machine for a live one. */
static void discard_output(struct rr_peer_link *link) {
    pthread_mutex_lock(&link->peers->lock);
    g_queue_clear_full(&link->heartbeats, (GDestroyNotify)g_bytes_unref);
    for (int hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        g_hash_table_remove_all(link->digests[hops]);
    }
    g_ptr_array_set_size(link->suspects, 0);
    g_clear_pointer(&link->demand, g_bytes_unref);
    link->delivery_generation++;
    pthread_mutex_unlock(&link->peers->lock);
}

/* Whether the connection has to be replaced because the peer has not confirmed it in time. After a
 * network partition a connection may accept everything that is sent and deliver nothing, without a
 * reset. So the peer has to report that it receives from this controller; while it does not, or
 * while nothing is received from it, connections are replaced at intervals that double up to
 * CONFIRM_TIMEOUT_MAX_S. */
static bool confirmation_timed_out(struct rr_peer_link *link, double now) {
    rr_peers *peers = link->peers;
    pthread_mutex_lock(&peers->lock);
    bool confirmed = rr_peer_received_recently(link, now) && link->peer_receives_from_us;
    bool timed_out = !confirmed && now - link->connected_at > link->confirm_timeout_s;
    if (confirmed) {
        link->confirm_timeout_s = RR_PEER_RECEIVED_TIMEOUT_S;
    } else if (timed_out) {
        link->confirm_timeout_s = MIN(2 * link->confirm_timeout_s, CONFIRM_TIMEOUT_MAX_S);
    }
    pthread_mutex_unlock(&peers->lock);
    return timed_out;
}

/* Connects and sends the HELLO frame. Returns 0 or -EIO; *fd is the socket, which stays open if
 * only sending failed, or negative. */
static int connect_to_peer(struct rr_peer_link *link, int *fd) {
    rr_peers *peers = link->peers;
    *fd = rr_stream_connect(NULL, &peers->config->peers[link->index].endpoint, CONNECT_TIMEOUT_S);
    if (*fd < 0) {
        return -EIO;
    }
    pthread_mutex_lock(&peers->lock);
    link->connected_at = rr_steady_clock_s();
    pthread_mutex_unlock(&peers->lock);
    GByteArray *hello = g_byte_array_new();
    rr_peer_put_hello(peers, hello);
    int rc = rr_stream_send(*fd, hello->data, hello->len);
    g_byte_array_free(hello, TRUE);
    return rc;
}

/* Sends the frames, over a new connection if none is open (*fd < 0). Returns 0 or -EIO. */
static int send_frames(struct rr_peer_link *link, int *fd, const GByteArray *frames) {
    int rc = *fd < 0 ? connect_to_peer(link, fd) : 0;
    return rc == 0 ? rr_stream_send(*fd, frames->data, frames->len) : rc;
}

/* Closes the connection, if one is open, and logs it. */
static void close_connection(const struct rr_peer_link *link, int *fd, bool unconfirmed) {
    if (*fd >= 0) {
        close(*fd);
        rr_log(RR_INFO_LEVEL, "connection to peer %s lost%s; reconnecting",
               link->peers->config->peers[link->index].name,
               unconfirmed ? " (the peer does not confirm that it receives from this controller)"
                           : "");
    }
    *fd = -1;
}

static void pause_before_retry(const struct rr_peer_link *link) {
    for (int i = 0; i < RETRY_PAUSE_CHECKS && !atomic_load(link->peers->stop); i++) {
        rr_sleep(STOP_CHECK_S);
    }
}

void *rr_peer_link_main(void *arg) {
    struct rr_peer_link *link = arg;
    rr_usage_register_thread(RR_USAGE_PEERS);
    GByteArray *frames = g_byte_array_new();
    double digests_sent_at = 0;
    int fd = -1;
    while (collect_frames(link, frames, &digests_sent_at)) {
        bool unconfirmed = fd >= 0 && confirmation_timed_out(link, rr_steady_clock_s());
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
    rr_usage_unregister_thread();
    return NULL;
}
