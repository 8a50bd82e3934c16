/* Internal to the package: a check that a MessagePack document is well formed, made before it is
 * decoded.
 *
 * libmsgpack allocates the whole declared length of a container before it has decoded one element,
 * so a body of five bytes could make it allocate gigabytes. The check walks over the encoded values
 * and allocates nothing. Since every element takes at least one byte, it rejects a container that
 * declares more elements than there are bytes left. */
#ifndef RR_WIRE_DOCUMENT_CHECK_H
#define RR_WIRE_DOCUMENT_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether the data is exactly one value, with maps and arrays nested at most depth_max
 * levels deep. */
bool rr_document_check(const void *data, size_t length, int depth_max);

#endif
