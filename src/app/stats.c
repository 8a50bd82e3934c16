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
    rr_stats *s = g_new0(rr_stats, 1);
    pthread_mutex_init(&s->lock, NULL);
    s->took = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges_uniform(s->took, -4, 2);
    return s;
}

void rr_stats_destroy(rr_stats *s) {
    if (s) {
        gsl_histogram_free(s->took);
        pthread_mutex_destroy(&s->lock);
        g_free(s);
    }
}

void rr_stats_submission(rr_stats *s, int status, double seconds) {
    double x = log10(seconds > 1e-4 ? seconds : 1.01e-4);
    pthread_mutex_lock(&s->lock);
    s->answered++;
    s->refused += status >= 500;
    gsl_histogram_increment(s->took, x < 1.99 ? x : 1.99);
    pthread_mutex_unlock(&s->lock);
}

static double quantile_ms(const gsl_histogram *h, double q) {
    double sum = 0, all = gsl_histogram_sum(h), lo = 0, hi = 0;
    for (size_t i = 0; i < BINS && sum < q * all; i++) {
        sum += gsl_histogram_get(h, i);
        gsl_histogram_get_range(h, i, &lo, &hi);
    }
    return 1000 * pow(10, hi);
}

void rr_stats_line(rr_stats *s, char *out, size_t size) {
    pthread_mutex_lock(&s->lock);
    if (s->answered) {
        g_snprintf(out, size,
                   "%u submissions (%u refused), half within %.0f ms, 95%% within %.0f ms",
                   s->answered, s->refused, quantile_ms(s->took, 0.5), quantile_ms(s->took, 0.95));
    } else {
        g_snprintf(out, size, "no submissions");
    }
    gsl_histogram_reset(s->took);
    s->answered = s->refused = 0;
    pthread_mutex_unlock(&s->lock);
}
