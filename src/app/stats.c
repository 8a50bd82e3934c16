#include "app/stats.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>

/* The histogram's bins cover 0.1 ms to 100 s, as log10 of seconds, with ten bins for each power of
 * ten. */
#define HISTOGRAM_BINS 60
#define HISTOGRAM_LOG10_MIN (-4)
#define HISTOGRAM_LOG10_MAX 2
/* Durations outside the histogram's range count in its first or last bin. */
#define DURATION_MIN_S 1e-4
#define DURATION_IN_FIRST_BIN_S 1.01e-4
#define DURATION_LOG10_IN_LAST_BIN 1.99

struct rr_stats {
    pthread_mutex_t lock;
    gsl_histogram *durations; /* log10 of the seconds until submissions were answered */
    unsigned answered;        /* submissions, including the refused ones */
    unsigned refused;         /* answered with a status of 500 or more */
};

rr_stats *rr_stats_create(void) {
    rr_stats *stats = g_new0(rr_stats, 1);
    pthread_mutex_init(&stats->lock, NULL);
    stats->durations = gsl_histogram_alloc(HISTOGRAM_BINS);
    gsl_histogram_set_ranges_uniform(stats->durations, HISTOGRAM_LOG10_MIN, HISTOGRAM_LOG10_MAX);
    return stats;
}

void rr_stats_destroy(rr_stats *stats) {
    if (stats) {
        gsl_histogram_free(stats->durations);
        pthread_mutex_destroy(&stats->lock);
        g_free(stats);
    }
}

void rr_stats_record_submission(rr_stats *stats, int status, double seconds) {
    double logarithm = log10(seconds > DURATION_MIN_S ? seconds : DURATION_IN_FIRST_BIN_S);
    pthread_mutex_lock(&stats->lock);
    stats->answered++;
    stats->refused += status >= 500;
    gsl_histogram_increment(stats->durations, logarithm < DURATION_LOG10_IN_LAST_BIN
                                                  ? logarithm
                                                  : DURATION_LOG10_IN_LAST_BIN);
    pthread_mutex_unlock(&stats->lock);
}

/* Returns the upper edge of the bin that holds the quantile, in milliseconds. */
static double get_quantile_ms(const gsl_histogram *histogram, double quantile) {
    double sum = 0, total = gsl_histogram_sum(histogram), low = 0, high = 0;
    for (size_t i = 0; i < HISTOGRAM_BINS && sum < quantile * total; i++) {
        sum += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &low, &high);
    }
    return 1000 * pow(10, high);
}

void rr_stats_format_summary(rr_stats *stats, char *out, size_t size) {
    pthread_mutex_lock(&stats->lock);
    if (stats->answered) {
        g_snprintf(out, size,
                   "%u submissions (%u refused), half within %.0f ms, 95%% within %.0f ms",
                   stats->answered, stats->refused, get_quantile_ms(stats->durations, 0.5),
                   get_quantile_ms(stats->durations, 0.95));
    } else {
        g_snprintf(out, size, "no submissions");
    }
    gsl_histogram_reset(stats->durations);
    stats->answered = stats->refused = 0;
    pthread_mutex_unlock(&stats->lock);
}
