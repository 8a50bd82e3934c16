/* Rentals' records in the store cache: intents to scale out. */
#ifndef RR_CORE_AUTOSCALING_RENTAL_RECORDS_H
#define RR_CORE_AUTOSCALING_RENTAL_RECORDS_H

#include "core/autoscaling/autoscaling_state.h"

/* Frees a rental; takes gpointer, as GLib's containers do. */
void rr_rental_free(gpointer data);
/* Take over a rental's record and its deletion. name: its key after RR_KEY_RENTAL. */
void rr_rental_put(rr_core *core, const char *name, const msgpack_object *value, uint64_t version);
void rr_rental_delete(rr_core *core, const char *name);
/* A full reload of the store cache begins, and ends: rentals that it did not bring are removed. */
void rr_rentals_begin_reload(rr_core *core);
void rr_rentals_end_reload(rr_core *core);

#endif
