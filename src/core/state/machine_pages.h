/* Machine types of the catalogue, and the pages of machine records that the autoscaler writes. */
#ifndef RR_CORE_STATE_MACHINE_PAGES_H
#define RR_CORE_STATE_MACHINE_PAGES_H

#include "core/state/machines.h"

/* A record of machines, written by the autoscaler. */
typedef struct {
    uint32_t id;
    uint64_t version;
    size_t bytes;      /* their size, roughly */
    guint entry_count; /* in the record; one that moved to another page may still be among them */
    bool seen_in_reload;
} rr_machine_page;

void rr_machine_type_put(rr_core *core, const msgpack_object *value);
void rr_machine_page_put(rr_core *core, const char *rest, const msgpack_object *value,
                         uint64_t version, double now);
void rr_machine_page_delete(rr_core *core, const char *rest, uint64_t version, double now);
/* Its record has gone, and so has it. */
void rr_machine_record_removed(rr_core *core, rr_machine *machine, double now);
const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type);
rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine);
double rr_machine_price(const rr_core *core, const rr_machine *machine);
size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine);
/* The record of a page, its machines as the flags in them say now. */
void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder,
                            const GPtrArray *machines /* rr_machine* */);
void rr_machine_page_key(uint32_t page, char *out, size_t size);

#endif
