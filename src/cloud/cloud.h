/* The client of the cloud: catalogue, rentals, releases and the list of machines. One object
 * belongs to one thread and takes no lock; every call blocks, first to keep below the cloud's limit
 * of requests. */
#ifndef RR_CLOUD_CLOUD_H
#define RR_CLOUD_CLOUD_H

#include "net/client.h"
#include "wire/wire.h"

typedef struct rr_cloud rr_cloud;

/* rps: the cloud's limit in requests a second. stop is borrowed. NULL: no HTTP client is to be had.
 */
rr_cloud *rr_cloud_create(const struct rr_endpoint *endpoint, double rps, const atomic_bool *stop);
/* NULL is allowed. */
void rr_cloud_destroy(rr_cloud *cloud);

/* All calls return 0; -EAGAIN: a status other than 200; -EBADMSG: not readable; or an error of
 * rr_client_call(). */

/* Appends the machine types (rr_machine_type, each for rr_machine_type_clear()); on failure those
 * read so far. */
int rr_cloud_catalog(rr_cloud *cloud, GArray *machine_types);
/* Appends all machines (rr_listed_machine). The list counts only with 0: a part of it would prove
 * nothing about missing machines. -E2BIG: too long. */
int rr_cloud_list(rr_cloud *cloud, GArray *machines);

/* Rents up to how_many machines under a rental name that no other request has used. *status: 200
 * with the machines' names (char*) appended to ids; 503: there is no capacity; 0: not known. */
int rr_cloud_rental(rr_cloud *cloud, const char *rental, const char *machine_type, const char *zone,
                    bool spot, int how_many, int *status, GPtrArray *ids);
/* Gives up to 100 machines (char*) back; with 0 they are gone. */
int rr_cloud_release(rr_cloud *cloud, const GPtrArray *ids);

#endif
