/* mm_submission_codec: a job as msgpack, for the store and other instances. */
#ifndef MM_SUBMISSION_CODEC_H
#define MM_SUBMISSION_CODEC_H

#include "mm_submission.h"

#include <msgpack.h>

void mm_submission_pack (msgpack_packer *pk, const mm_submission *s);
mm_submission *mm_submission_unpack (const msgpack_object *o); /* or NULL */

#endif /* MM_SUBMISSION_CODEC_H */
