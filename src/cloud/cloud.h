/* The cloud's interface. One object a thread (the autoscaler's). */
#ifndef RR_CLOUD_CLOUD_H
#define RR_CLOUD_CLOUD_H

#include "net/client.h"
#include "wire/wire.h"

typedef struct rr_cloud rr_cloud;
rr_cloud *rr_cloud_create(const struct rr_endpoint *endpoint, double rps, const atomic_bool *stop);
void rr_cloud_destroy(rr_cloud *cloud);
/* All return 0 or a negative errno; -EAGAIN: refused for now. */
int rr_cloud_catalog(rr_cloud *cloud, GArray *machine_types /* rr_machine_type */);
int rr_cloud_list(rr_cloud *cloud, GArray *machines /* rr_listed_machine */);
/* *status: 200 (ids filled), 503 no capacity, 0: not known. */
int rr_cloud_rental(rr_cloud *cloud, const char *rental, const char *machine_type, const char *zone,
                    bool spot, int how_many, int *status, GPtrArray *ids);
int rr_cloud_release(rr_cloud *cloud, const GPtrArray *ids);

#endif
