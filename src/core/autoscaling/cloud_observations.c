/* Remembers for a while which machines have gone and which capacity the cloud refused. */
#include "core/autoscaling/cloud_observations.h"
#include "core/core_internal.h"

/* The cloud's list names a machine that has gone for up to twice the configured list lag, and a
 * dead one for half a minute longer. These limits leave a margin. */
#define GONE_LIST_LAGS 3
#define GONE_LISTED_MAX_S 40

/* How long refused capacity is not requested again. */
#define CAPACITY_REFUSAL_S 15.0

bool rr_machine_recently_gone(const rr_core *core, const char *name, double now) {
    const double *gone_at = g_hash_table_lookup(core->stored.gone_machines, name);
    return gone_at &&
           now - *gone_at < GONE_LIST_LAGS * core->config->cloud_list_lag_s + GONE_LISTED_MAX_S;
}

/* Returns the key in capacity_refused_until, which the caller has to free. */
static char *make_refusal_key(const char *machine_type, const char *zone, bool spot) {
    return g_strdup_printf("%s|%s|%d", machine_type, zone, spot);
}

bool rr_capacity_refused(const rr_core *core, const char *machine_type, const char *zone, bool spot,
                         double now) {
    char *key = make_refusal_key(machine_type, zone, spot);
    const double *until = g_hash_table_lookup(core->autoscaling.capacity_refused_until, key);
    g_free(key);
    return until && now < *until;
}

void rr_record_capacity_refusal(rr_core *core, const char *machine_type, const char *zone,
                                bool spot, double now) {
    double *until = g_new(double, 1);
    *until = now + CAPACITY_REFUSAL_S;
    g_hash_table_replace(core->autoscaling.capacity_refused_until,
                         make_refusal_key(machine_type, zone, spot), until);
}
