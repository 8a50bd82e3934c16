#include "app/stats.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>

#define BINS 60 /* logarithmic, 0.1 ms to 100 s: ten a decade */

struct rr_stats {
    pthread_mutex_t lock;
    gsl_histogram *took;
    unsigned answered, refused;
};

rr_stats *rr_stats_create(void) {
    rr_stats *stats = g_new0(rr_stats, 1);
    pthread_mutex_init(&stats->lock, NULL);
    stats->took = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges_uniform(stats->took, -4, 2);
    return stats;
}

void rr_stats_destroy(rr_stats *stats) {
    if (stats) {
        gsl_histogram_free(stats->took);
        pthread_mutex_destroy(&stats->lock);
        g_free(stats);
    }
}

void rr_stats_submission(rr_stats *stats, int status, double seconds) {
    double bound = log10(seconds > 1e-4 ? seconds : 1.01e-4);
    pthread_mutex_lock(&stats->lock);
    stats->answered++;
    stats->refused += status >= 500;
    gsl_histogram_increment(stats->took, bound < 1.99 ? bound : 1.99);
    pthread_mutex_unlock(&stats->lock);
}

static double quantile_ms(const gsl_histogram *histogram, double quantile) {
    double sum = 0, all = gsl_histogram_sum(histogram), low = 0, high = 0;
    for (size_t i = 0; i < BINS && sum < quantile * all; i++) {
        sum += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &low, &high);
    }
    return 1000 * pow(10, high);
}

void rr_stats_line(rr_stats *stats, char *out, size_t size) {
    pthread_mutex_lock(&stats->lock);
    if (stats->answered) {
        g_snprintf(out, size,
                   "%u submissions (%u refused), half within %.0f ms, 95%% within %.0f ms",
                   stats->answered, stats->refused, quantile_ms(stats->took, 0.5),
                   quantile_ms(stats->took, 0.95));
    } else {
        g_snprintf(out, size, "no submissions");
    }
    gsl_histogram_reset(stats->took);
    stats->answered = stats->refused = 0;
    pthread_mutex_unlock(&stats->lock);
}
