/* Inside the package only: a check of a MessagePack document's form before it is decoded.
 *
 * libmsgpack allocates a container's whole declared length before it has seen one element, so that
 * a body of five bytes could ask for gigabytes. The check follows the format's lengths and
 * allocates nothing: every element takes at least one byte, hence a declared count above what is
 * left is false. */
#ifndef RR_WIRE_DOCUMENT_CHECK_H
#define RR_WIRE_DOCUMENT_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Whether the data is exactly one value with containers nested at most this deep. */
bool rr_document_check(const void *data, size_t length, int depth_max);

#endif
