/* Decodes a job from a caller's JSON, packs it as msgpack for a peer and
   unpacks it as the peer does.  */
#include <masticmill.h>

#include <stdio.h>
#include <string.h>

int
main (void)
{
  static const char body[]
      = "{\"job_id\":\"visit-7\",\"team\":\"aula-viva\",\"tasks\":["
        "{\"id\":\"seat-1\",\"run_ms\":60,\"deadline_ms\":1500},"
        "{\"id\":\"seat-2\",\"run_ms\":60,\"idempotent\":true}]}";
  GError *error = NULL;
  /* Jobs with more than 290 tasks are refused.  */
  mm_job *job = mm_job_parse_json (body, strlen (body), 290, &error);
  GByteArray *packed = g_byte_array_new ();
  mm_job_pack (job, packed);
  mm_job *copy = mm_job_unpack (packed->data, packed->len, 290, &error);
  printf ("%zu bytes of JSON, %u of msgpack: job %s of team %s\n",
          strlen (body), packed->len, copy->id, copy->team);
  for (uint32_t i = 0; i < copy->n_tasks; i++)
    printf ("  task %s, deadline %ld ms, %s\n", copy->tasks[i].id,
            (long)copy->tasks[i].deadline_ms,
            copy->tasks[i].idempotent ? "idempotent" : "at most once");
  mm_job_destroy (copy);
  mm_job_destroy (job);
  g_byte_array_free (packed, TRUE);
  return 0;
}
