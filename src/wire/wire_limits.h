/* Sizes that all messages share. */
#ifndef RR_WIRE_WIRE_LIMITS_H
#define RR_WIRE_WIRE_LIMITS_H

#include <stddef.h>

#define RR_BODY_BYTES_MAX                                                                          \
    ((size_t)64 * 1024)         /* of a request; responses may be bounded otherwise                \
                                 */
#define RR_TASKS_MAX 100000     /* of a job */
#define RR_MACHINE_TYPES_MAX 32 /* that a submission may name */

/* Buffers for texts with their end. */
#define RR_ID_SIZE 64                      /* job ids, machine names and types, addresses */
#define RR_TEXT_SIZE 128                   /* teams, job classes, images, zones */
#define RR_TASK_NAME_SIZE (2 * RR_ID_SIZE) /* a job id, '/', a task's number */

#endif
