/* Weighted max-min fairness of one resource. */
#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define EPSILON 1e-9

void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out) {
    memset(out, 0, count * sizeof *out);
    for (guint round = 0; round < count && capacity > EPSILON; round++) {
        double weight = 0, level = INFINITY;
        for (guint i = 0; i < count; i++) {
            bool open = demands[i] - out[i] > EPSILON;
            weight += open ? weights[i] : 0;
            level = open ? fmin(level, (demands[i] - out[i]) / weights[i]) : level;
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

/* Fixes the demands that got less than guaranteed at that amount and takes them out of the filling.
 * False: there were none. */
static bool fix_guaranteed(double *open, const double *guaranteed, guint count, double *fixed,
                           double *capacity, const double *filled) {
    bool any = false;
    for (guint i = 0; i < count; i++) {
        double amount = fmin(open[i], guaranteed[i]);
        if (amount > filled[i] + EPSILON) {
            fixed[i] = amount;
            open[i] = 0;
            *capacity -= amount;
            any = true;
        }
    }
    return any;
}

void rr_share_water_fill_guaranteed(const double *demands, const double *weights,
                                    const double *guaranteed, guint count, double capacity,
                                    double *out) {
    double *open = g_memdup2(demands, count * sizeof *open);
    double *fixed = g_malloc0_n(count + 1, sizeof *fixed);
    do {
        rr_share_water_fill(open, weights, count, fmax(capacity, 0), out);
    } while (fix_guaranteed(open, guaranteed, count, fixed, &capacity, out));
    for (guint i = 0; i < count; i++) {
        out[i] += fixed[i];
    }
    g_free(open);
    g_free(fixed);
}
