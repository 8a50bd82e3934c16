/* Rentals' records in the store cache: intents to scale out. */
#ifndef RR_CORE_AUTOSCALING_RENTAL_RECORDS_H
#define RR_CORE_AUTOSCALING_RENTAL_RECORDS_H

#include "core/autoscaling/autoscaling_state.h"

/* Writes the key of a rental's record to out. */
void rr_rental_key(const char *name, char *out, size_t size);
/* Frees a rental; takes gpointer, as GLib's containers do. */
void rr_rental_free(gpointer data);
/* Takes over a rental's record. name: its key after RR_KEY_RENTAL. */
void rr_rental_put(rr_core *core, const char *name, const msgpack_object *value, uint64_t version);
/* Takes over the deletion of a rental's record. */
void rr_rental_delete(rr_core *core, const char *name);
/* Begins a full reload of the store cache: no rental has been seen in it yet. */
void rr_rentals_begin_reload(rr_core *core);
/* Ends a full reload: removes the rentals that it did not bring. */
void rr_rentals_end_reload(rr_core *core);

#endif
