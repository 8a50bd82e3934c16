/* Machine types of the catalog, and machine pages: records of many machines each, which the
 * autoscaler writes. */
#ifndef RR_CORE_STATE_MACHINE_PAGES_H
#define RR_CORE_STATE_MACHINE_PAGES_H

#include "core/state/machines.h"

/* A machine page as the store cache knows it. */
typedef struct {
    uint32_t id;
    uint64_t version;
    size_t bytes;        /* estimated size of the entries of its machines, in bytes of JSON */
    guint entry_count;   /* entries in the record, also of machines now recorded in another page */
    bool seen_in_reload; /* the full reload in progress has brought the page */
} rr_machine_page;

/* Applies a machine type's record. A malformed record is ignored. */
void rr_machine_type_put(rr_core *core, const msgpack_object *value);
/* Returns the machine type with this index, or NULL if the catalog does not have it. The pointer is
 * valid until the next machine type or machine page is put. */
const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type);

/* Applies a machine page's record: machines that the page no longer contains are gone. key_suffix:
 * the key after RR_KEY_MACHINE_PAGE. */
void rr_machine_page_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                         uint64_t version, double now);
/* Applies the deletion of a machine page's record: all of its machines are gone. */
void rr_machine_page_delete(rr_core *core, const char *key_suffix, uint64_t version, double now);
/* Begins a full reload of the store cache: marks every page and machine as not seen in it. */
void rr_machine_pages_begin_reload(rr_core *core);
/* Ends a full reload: removes the pages and machines that the reload did not bring, except those of
 * pages written after first_revision, at which the reload began. */
void rr_machine_pages_end_reload(rr_core *core, uint64_t first_revision, double now);

/* Encodes a machine page with these machines (rr_machine*) and their present flags. */
void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder, const GPtrArray *machines);
/* Writes the store key of a machine page to out. */
void rr_machine_page_key(uint32_t page, char *out, size_t size);
/* Returns the estimated size of a machine's entry in a page, in bytes of JSON. */
size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine);

/* Returns the resources of the machine, or zeros while its type is unknown. */
rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine);
/* Returns the price of the machine. The price of an operator-owned machine is 0, because using it
 * costs nothing extra and it is never returned; so is that of a machine of unknown type. */
double rr_machine_price(const rr_core *core, const rr_machine *machine);

#endif
