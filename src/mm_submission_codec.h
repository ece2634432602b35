/* mm_submission_codec: encodes a job as msgpack, for the store and for other
   instances.  */
#ifndef MM_SUBMISSION_CODEC_H
#define MM_SUBMISSION_CODEC_H

#include "mm_submission.h"

#include <msgpack.h>

/* Packs only the fields of kinds of jobs that are served: @s must be a job for
   which mm_submission_unsupported_reason() returns NULL.  */
void mm_submission_pack (msgpack_packer *pk, const mm_submission *s);
/* Returns NULL when @o is not a valid job; the caller frees the job.  */
mm_submission *mm_submission_unpack (const msgpack_object *o);

#endif /* MM_SUBMISSION_CODEC_H */
