/* Applies changes of rental records, the recorded intents to scale out, to the store cache. */
#ifndef RR_CORE_AUTOSCALING_RENTAL_RECORDS_H
#define RR_CORE_AUTOSCALING_RENTAL_RECORDS_H

#include "core/autoscaling/autoscaling_state.h"

/* Writes the key of a rental's record to out. */
void rr_rental_key(const char *name, char *out, size_t size);
/* Frees a rental; takes gpointer, as GLib's containers do. */
void rr_rental_free(gpointer data);
/* Adds a rental's record to the cache or updates it. name: the key after RR_KEY_RENTAL. */
void rr_rental_put(rr_core *core, const char *name, const msgpack_object *value, uint64_t version);
/* Removes a rental whose record was deleted; an unknown one is ignored. */
void rr_rental_delete(rr_core *core, const char *name);
/* Begins a full reload of the store cache: marks every rental as not yet seen in it. */
void rr_rentals_begin_reload(rr_core *core);
/* Ends a full reload: removes the rentals that were not seen in it. */
void rr_rentals_end_reload(rr_core *core);

#endif
