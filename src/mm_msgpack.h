/* mm_msgpack: typed packing and reading of msgpack values.

   Each reader returns false when the value is of another type or out of range,
   and its result is not valid then.  */
#ifndef MM_MSGPACK_H
#define MM_MSGPACK_H

#include "mm_task.h"

#include <msgpack.h>

/* Packs a string; NULL gives nil.  */
void mm_mp_pack_text (msgpack_packer *pk, const char *text);
void mm_mp_pack_bytes (msgpack_packer *pk, const void *data, size_t len);
void mm_mp_pack_bool (msgpack_packer *pk, bool v);
/* Packs an array of strings; @texts is NULL-terminated, or NULL for none.  */
void mm_mp_pack_texts (msgpack_packer *pk, char *const *texts);
/* Packs three values: job, step, index.  */
void mm_mp_pack_task (msgpack_packer *pk, const mm_task_id *id);

bool mm_mp_read_u64 (const msgpack_object *o, uint64_t *v);
bool mm_mp_read_u32 (const msgpack_object *o, uint32_t *v);
bool mm_mp_read_i64 (const msgpack_object *o, int64_t *v);
bool mm_mp_read_double (const msgpack_object *o, double *v);
bool mm_mp_read_bool (const msgpack_object *o, bool *v);
/* Copies a string; free with g_free().  Nil gives NULL, which is an error
   without @nil_ok.  */
bool mm_mp_read_text (const msgpack_object *o, bool nil_ok, char **v);
/* Copies a string and a NUL into a buffer of @cap bytes.  Returns false when
   they do not fit.  */
bool mm_mp_read_fixed (const msgpack_object *o, char *out, size_t cap);
/* Returns at most @max strings, free with g_strfreev(), or NULL when the value
   is not valid.  */
char **mm_mp_read_texts (const msgpack_object *o, uint32_t max);
/* Reads three consecutive values, as mm_mp_pack_task() packs them.  */
bool mm_mp_read_task (const msgpack_object *values, mm_task_id *id);
/* Returns whether a value is an array of @n values, or of any number of values
   when @n is 0.  */
bool mm_mp_is_array (const msgpack_object *o, uint32_t n);

#endif /* MM_MSGPACK_H */
