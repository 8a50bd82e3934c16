/* Machine types of the catalogue, and the pages of machine records that the autoscaler writes. */
#ifndef RR_CORE_STATE_MACHINE_PAGES_H
#define RR_CORE_STATE_MACHINE_PAGES_H

#include "core/state/machines.h"

/* One record of many machines. */
typedef struct {
    uint32_t id;
    uint64_t version;
    size_t bytes;      /* estimated size of its machines' entries */
    guint entry_count; /* as recorded, with machines that have since moved to another page */
    bool seen_in_reload;
} rr_machine_page;

/* Takes over a machine type's record; an unreadable one is ignored. */
void rr_machine_type_put(rr_core *core, const msgpack_object *value);
/* Returns the type of this index, or NULL if the catalogue does not have it. Valid until the next
 * machine type is put. */
const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type);

/* Takes over a page's record: machines that the page no longer has are gone. key_suffix: the key
 * after RR_KEY_MACHINE_PAGE. */
void rr_machine_page_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                         uint64_t version, double now);
/* Takes over the deletion of a page's record: all of its machines are gone. */
void rr_machine_page_delete(rr_core *core, const char *key_suffix, uint64_t version, double now);
/* Begins a full reload of the store cache: no page or machine has been seen in it yet. */
void rr_machine_pages_begin_reload(rr_core *core);
/* Ends a full reload: removes the pages and machines that it did not bring, unless their page is
 * newer than revision first. */
void rr_machine_pages_end_reload(rr_core *core, uint64_t first, double now);

/* Encodes the record of a page with these machines (rr_machine*), flagged as they are now. */
void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder, const GPtrArray *machines);
/* Writes the key of a page to out. */
void rr_machine_page_key(uint32_t page, char *out, size_t size);
/* Estimated size of a machine's entry in a page, in bytes of JSON. */
size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine);

/* Resources of the machine; none while its type is unknown. */
rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine);
/* Price of the machine; 0 for the operator's own machines, whose use costs nothing extra and which
 * are never returned. */
double rr_machine_price(const rr_core *core, const rr_machine *machine);

#endif
