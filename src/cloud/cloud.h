/* The client of the cloud API: catalogue, rentals, releases and the list of machines. A client
 * belongs to one thread and takes no lock. Every call blocks, first to stay below the cloud's
 * request rate limit, then until the cloud replies. */
#ifndef RR_CLOUD_CLOUD_H
#define RR_CLOUD_CLOUD_H

#include "net/client.h"
#include "wire/wire.h"

typedef struct rr_cloud rr_cloud;

/* Creates a client, which the caller owns. rps is the cloud's limit in requests per second. The
 * stop flag is borrowed and has to outlive the client; setting it ends running calls. Returns NULL
 * if no HTTP client can be created. */
rr_cloud *rr_cloud_create(const struct rr_endpoint *endpoint, double rps, const atomic_bool *stop);
/* Closes the connections and frees the client. NULL is allowed. */
void rr_cloud_destroy(rr_cloud *cloud);

/* ---- Calls ----
 *
 * Each returns 0; -EAGAIN for a status other than 200; -EBADMSG for a reply that can't be decoded;
 * or an error of rr_http_client_call(). */

/* Reads the catalogue and appends its machine types (rr_machine_type); each has to be cleared with
 * rr_machine_type_clear(). On failure the types decoded so far have been appended. */
int rr_cloud_get_catalog(rr_cloud *cloud, GArray *machine_types);
/* Reads the list of machines, page by page, and appends them (rr_listed_machine). After an error
 * the array may hold a part of the list and must not be used: a partial list does not prove that a
 * machine is gone. Returns -E2BIG if the list has too many pages. */
int rr_cloud_list_machines(rr_cloud *cloud, GArray *machines);

/* Rents up to count machines under a rental name that no other request has used. *status is 200
 * with copies of the machines' names (char*) appended to ids; 503 if the cloud has no capacity; or
 * 0 if the outcome is unknown. */
int rr_cloud_rent_machines(rr_cloud *cloud, const char *rental, const char *machine_type,
                           const char *zone, bool spot, int count, int *status, GPtrArray *ids);
/* Releases up to 100 machines, given by name (char*). After a return of 0 they are gone. */
int rr_cloud_release_machines(rr_cloud *cloud, const GPtrArray *ids);

#endif
