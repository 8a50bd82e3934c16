/* Weighted max-min fairness over one resource, by water filling. */
#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define EPSILON 1e-9 /* smaller amounts count as zero */

void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out) {
    memset(out, 0, count * sizeof *out);
    for (guint round = 0; round < count && capacity > EPSILON; round++) {
        double weight = 0, level = INFINITY;
        for (guint i = 0; i < count; i++) {
            bool unmet = demands[i] - out[i] > EPSILON;
            weight += unmet ? weights[i] : 0;
            level = unmet ? fmin(level, (demands[i] - out[i]) / weights[i]) : level;
        }
        if (weight <= 0) {
            return;
        }
        level = fmin(level, capacity / weight);
        for (guint i = 0; i < count; i++) {
            if (demands[i] - out[i] > EPSILON) {
                out[i] += level * weights[i];
            }
        }
        capacity -= level * weight;
    }
}

/* Grants its guaranteed amount to each demand that water filling gave less, and excludes the demand
 * from further filling: zeroes its unmet demand and subtracts the amount from the capacity. Returns
 * whether any amount was granted. */
static bool grant_guarantees(double *unmet, const double *guaranteed, guint count, double *granted,
                             double *capacity, const double *filled) {
    bool any_granted = false;
    for (guint i = 0; i < count; i++) {
        double amount = fmin(unmet[i], guaranteed[i]);
        if (amount > filled[i] + EPSILON) {
            granted[i] = amount;
            unmet[i] = 0;
            *capacity -= amount;
            any_granted = true;
        }
    }
    return any_granted;
}

void rr_share_water_fill_guaranteed(const double *demands, const double *weights,
                                    const double *guaranteed, guint count, double capacity,
                                    double *out) {
    double *unmet = g_memdup2(demands, count * sizeof *unmet);
    double *granted = g_malloc0_n(count + 1, sizeof *granted);
    do {
        rr_share_water_fill(unmet, weights, count, fmax(capacity, 0), out);
    } while (grant_guarantees(unmet, guaranteed, count, granted, &capacity, out));
    for (guint i = 0; i < count; i++) {
        out[i] += granted[i];
    }
    g_free(unmet);
    g_free(granted);
}
