/* Limits and buffer sizes for the fields of all messages. */
#ifndef RR_WIRE_WIRE_LIMITS_H
#define RR_WIRE_WIRE_LIMITS_H

#include <stddef.h>

/* Longest body of a request. Responses may have other limits. */
#define RR_BODY_BYTES_MAX ((size_t)64 * 1024)
#define RR_TASKS_MAX 100000     /* most tasks of a job */
#define RR_MACHINE_TYPES_MAX 32 /* most machine types that a submission may list */

/* Sizes of buffers for strings, with the terminating zero. */
#define RR_ID_SIZE 64                      /* job ids, machine names and types, addresses */
#define RR_TEXT_SIZE 128                   /* names of teams, job classes, images and zones */
#define RR_TASK_NAME_SIZE (2 * RR_ID_SIZE) /* a job id, '/', the task's number in the job */

#endif
