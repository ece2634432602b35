/* mm_msgpack: typed reading and writing of msgpack values.

   Each reader returns false for a value of another type or out of range,
   and leaves its result unset then.  */
#ifndef MM_MSGPACK_H
#define MM_MSGPACK_H

#include "mm_task.h"

#include <msgpack.h>

void mm_mp_pack_text (msgpack_packer *pk, const char *text); /* NULL: nil */
void mm_mp_pack_bytes (msgpack_packer *pk, const void *data, size_t len);
void mm_mp_pack_bool (msgpack_packer *pk, bool v);
/* Three values: job, step, index.  */
void mm_mp_pack_task (msgpack_packer *pk, const mm_task_id *id);

bool mm_mp_read_u64 (const msgpack_object *o, uint64_t *v);
bool mm_mp_read_u32 (const msgpack_object *o, uint32_t *v);
bool mm_mp_read_i64 (const msgpack_object *o, int64_t *v);
bool mm_mp_read_double (const msgpack_object *o, double *v);
bool mm_mp_read_bool (const msgpack_object *o, bool *v);
/* A copy of a string; nil gives NULL where that is allowed.  */
bool mm_mp_read_text (const msgpack_object *o, bool nil_ok, char **v);
/* A string into a buffer that must hold it and its NUL.  */
bool mm_mp_read_fixed (const msgpack_object *o, char *out, size_t cap);
bool mm_mp_read_task (const msgpack_object *three, mm_task_id *id);
/* An array of exactly @n values (@n 0: of any number).  */
bool mm_mp_is_array (const msgpack_object *o, uint32_t n);

#endif /* MM_MSGPACK_H */
