#include "wire/cloud_messages.h"
#include "wire/wire_words.h"

#include <errno.h>
#include <string.h>

/* ---- Machine types ---- */

static bool decode_zones(const msgpack_object *list, GPtrArray *zones) {
    char zone[RR_TEXT_SIZE];
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        if (!rr_object_get_text(&list->via.array.ptr[i], zone, sizeof zone)) {
            return false;
        }
        g_ptr_array_add(zones, g_strdup(zone));
    }
    return true;
}

int rr_machine_type_decode(const msgpack_object *object, rr_machine_type *type) {
    memset(type, 0, sizeof *type);
    type->zones = g_ptr_array_new_with_free_func(g_free);
    const msgpack_object *zones = rr_map_get(object, RR_WORD_ZONES);
    if (!rr_map_get_text(object, RR_WORD_TYPE_NAME, type->name, sizeof type->name) ||
        !rr_map_get_number(object, RR_WORD_CPUS, &type->cpus) ||
        !rr_map_get_number(object, RR_WORD_GPUS, &type->gpus) ||
        !rr_map_get_number(object, RR_WORD_MEM_GB, &type->mem_gb) ||
        !rr_map_get_number(object, RR_WORD_PRICE, &type->price) || !zones ||
        zones->type != MSGPACK_OBJECT_ARRAY) {
        return -EBADMSG;
    }
    type->spot_price = type->price; /* unless the catalogue has a spot price */
    rr_map_get_number(object, RR_WORD_SPOT_PRICE, &type->spot_price);
    rr_map_get_number(object, RR_WORD_IMAGE_CACHE_GB, &type->image_cache_gb);
    rr_map_get_number(object, RR_WORD_IMAGE_PULL_GB_PER_S, &type->image_pull_gb_per_s);
    rr_map_get_number(object, RR_WORD_STARTUP_S, &type->startup_s);
    return decode_zones(zones, type->zones) ? 0 : -EBADMSG;
}

void rr_machine_type_encode(rr_encoder *encoder, const rr_machine_type *type) {
    rr_encode_map(encoder, 10);
    rr_encode_key_text(encoder, RR_WORD_TYPE_NAME, type->name);
    rr_encode_key_number(encoder, RR_WORD_CPUS, type->cpus);
    rr_encode_key_number(encoder, RR_WORD_GPUS, type->gpus);
    rr_encode_key_number(encoder, RR_WORD_MEM_GB, type->mem_gb);
    rr_encode_key_number(encoder, RR_WORD_IMAGE_CACHE_GB, type->image_cache_gb);
    rr_encode_key_number(encoder, RR_WORD_IMAGE_PULL_GB_PER_S, type->image_pull_gb_per_s);
    rr_encode_key_number(encoder, RR_WORD_PRICE, type->price);
    rr_encode_key_number(encoder, RR_WORD_SPOT_PRICE, type->spot_price);
    rr_encode_key_number(encoder, RR_WORD_STARTUP_S, type->startup_s);
    rr_encode_text(encoder, RR_WORD_ZONES);
    rr_encode_array(encoder, type->zones->len);
    for (guint i = 0; i < type->zones->len; i++) {
        rr_encode_text(encoder, g_ptr_array_index(type->zones, i));
    }
}

void rr_machine_type_clear(gpointer data) {
    rr_machine_type *type = data;
    if (type->zones) {
        g_ptr_array_free(type->zones, TRUE);
        type->zones = NULL;
    }
}

/* ---- Listed machines ---- */

static enum rr_listed_state decode_listed_state(const msgpack_object *object) {
    if (rr_object_text_equals(object, RR_WORD_RUNNING)) {
        return RR_LISTED_RUNNING;
    }
    return rr_object_text_equals(object, RR_WORD_FAILED) ? RR_LISTED_FAILED : RR_LISTED_STARTING;
}

int rr_listed_machine_decode(const msgpack_object *object, rr_listed_machine *listed) {
    memset(listed, 0, sizeof *listed);
    if (!rr_map_get_text(object, RR_WORD_LISTED_ID, listed->id, sizeof listed->id) ||
        !rr_map_get_text(object, RR_WORD_MACHINE_TYPE, listed->machine_type,
                         sizeof listed->machine_type) ||
        !rr_map_get_text(object, RR_WORD_ZONE, listed->zone, sizeof listed->zone) ||
        !rr_map_get_bool(object, RR_WORD_SPOT, &listed->spot)) {
        return -EBADMSG;
    }
    rr_map_get_text(object, RR_WORD_ADDRESS, listed->address, sizeof listed->address);
    rr_map_get_number(object, RR_WORD_AGE_S, &listed->age_s);
    listed->state = decode_listed_state(rr_map_get(object, RR_WORD_STATE));
    return 0;
}
