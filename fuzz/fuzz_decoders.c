/* fuzz_decoders: feed untrusted bytes to every decoder of masticmill.

   Built plainly, it mutates seed inputs for N rounds (default 20000) and
   exits 0 if no decoder crashed; run under valgrind or ASan to see
   memory errors.  Built with clang -fsanitize=fuzzer -DMM_LIBFUZZER, it
   is a libFuzzer target.  */
#include <masticmill.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *err = NULL;
  mm_job *j = mm_job_unpack (data, size, 290, &err);
  mm_job_destroy (j);
  g_clear_error (&err);
  j = mm_job_parse_json ((const char *)data, size, 290, &err);
  mm_job_destroy (j);
  g_clear_error (&err);
  char *text = g_strndup ((const char *)data, size);
  mm_toml *t = mm_toml_parse_string (text, "fuzz", &err);
  mm_toml_destroy (t);
  g_clear_error (&err);
  g_free (text);
  return 0;
}

#ifndef MM_LIBFUZZER
static GByteArray *
seed_packed (void)
{
  mm_task tasks[2] = { { .id = "a",
                         .payload = "p",
                         .run_ms = 5,
                         .deadline_ms = 100,
                         .idempotent = true },
                       { .id = "b",
                         .payload = "",
                         .run_ms = 0,
                         .deadline_ms = 9,
                         .idempotent = false } };
  mm_job job = { .id = "job", .team = "team", .n_tasks = 2, .tasks = tasks };
  GByteArray *b = g_byte_array_new ();
  mm_job_pack (&job, b);
  return b;
}

int
main (int argc, char **argv)
{
  long rounds = argc > 1 ? atol (argv[1]) : 20000;
  static const char json[]
      = "{\"job_id\":\"j\",\"tasks\":[{\"id\":\"a\",\"run_ms\":5,"
        "\"deadline_ms\":50,\"idempotent\":true}]}";
  static const char toml[] = "[limits]\nmax_tasks_per_job = 10\n";
  GByteArray *packed = seed_packed ();
  const uint8_t *seeds[]
      = { packed->data, (const uint8_t *)json, (const uint8_t *)toml };
  size_t lens[] = { packed->len, sizeof json - 1, sizeof toml - 1 };
  GRand *r = g_rand_new_with_seed (7);
  uint8_t buf[512];
  for (long i = 0; i < rounds; i++)
    {
      int s = g_rand_int_range (r, 0, 3);
      size_t n = MIN (lens[s], sizeof buf);
      memcpy (buf, seeds[s], n);
      int flips = g_rand_int_range (r, 1, 6);
      for (int f = 0; f < flips; f++)
        buf[g_rand_int_range (r, 0, (gint32)n)] = (uint8_t)g_rand_int (r);
      size_t cut = (size_t)g_rand_int_range (r, 0, (gint32)n + 1);
      LLVMFuzzerTestOneInput (buf, cut);
    }
  g_rand_free (r);
  g_byte_array_free (packed, TRUE);
  printf ("fuzz_decoders: %ld rounds, no crash\n", rounds);
  return 0;
}
#endif
