/* fuzz_decoders: feeds untrusted bytes to the decoders of jobs, settings,
   configuration records, quota reports and peer frames.

   Built without MM_LIBFUZZER, the program mutates seed inputs for N rounds
   (its argument, default 20000) and exits with 0 if no decoder crashed; run it
   under valgrind or ASan to find memory errors.  Built with clang
   -fsanitize=fuzzer -DMM_LIBFUZZER, it is a libFuzzer target.  */
#include "mm_cfg.h"
#include "mm_quota.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Feeds one input to every decoder.  Jobs with more than 290 tasks are
   refused.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *err = NULL;
  mm_job *decoded = mm_job_unpack (data, size, 290, &err);
  mm_job_destroy (decoded);
  g_clear_error (&err);
  decoded = mm_job_parse_json ((const char *)data, size, 290, &err);
  mm_job_destroy (decoded);
  g_clear_error (&err);
  char *text = g_strndup ((const char *)data, size);
  mm_toml *parsed = mm_toml_parse_string (text, "fuzz", &err);
  mm_toml_destroy (parsed);
  g_clear_error (&err);
  mm_cfg *cfg = mm_cfg_create ("lima");
  mm_cfg_apply (cfg, 0, text, &err);
  mm_cfg_destroy (cfg);
  g_clear_error (&err);
  g_free (text);
  mm_quota *quota = mm_quota_create ();
  mm_quota_apply_report (quota, "peer", data, size, 0, &err);
  mm_quota_destroy (quota);
  g_clear_error (&err);
  return 0;
}

#ifndef MM_LIBFUZZER
/* Returns a valid job of two tasks, packed as msgpack.  */
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
  GByteArray *bytes = g_byte_array_new ();
  mm_job_pack (&job, bytes);
  return bytes;
}

/* Answers each forwarded job with an empty JSON object.  */
static void
on_job (mm_peer *p, uint64_t link_id, uint64_t req_id, uint32_t hops,
        const uint8_t *job, size_t len, void *ctx)
{
  mm_peer_reply (p, link_id, req_id, 200, 0, "{}");
}

/* Sends complete frames, a length and a mutated body, to a real peer link: the
   link must close or answer, never crash.  The frames are a forwarded job, an
   answer, a ping and a notification in msgpack; the type is the second
   byte.  */
static void
fuzz_peer_frames (GRand *r, long rounds)
{
  static const uint8_t forward[] = { 0x94, 1, 7, 0, 0xc4, 2, 'x', 'y' };
  static const uint8_t answer[] = { 0x95, 2, 7, 0xcc, 200, 0, 0xa1, 'b' };
  static const uint8_t ping[] = { 0x92, 3, 7 };
  static const uint8_t notify[]
      = { 0x95, 4, 7, 1, 0xa1, 'e', 0xc4, 3, 0x92, 0xa1, 't' };
  static const uint8_t *const frames[] = { forward, answer, ping, notify };
  static const size_t lens[]
      = { sizeof forward, sizeof answer, sizeof ping, sizeof notify };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mm_peer *peer = mm_peer_create (loop, "127.0.0.1", 0, on_job, NULL, NULL);
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (mm_peer_port (peer)) };
  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  for (long i = 0; i < rounds; i++)
    {
      uint8_t buf[64];
      int kind = g_rand_int_range (r, 0, 4);
      uint32_t frame_bytes = htonl ((uint32_t)lens[kind]);
      memcpy (buf, &frame_bytes, 4);
      memcpy (buf + 4, frames[kind], lens[kind]);
      for (int f = g_rand_int_range (r, 0, 4); f > 0; f--)
        buf[4 + g_rand_int_range (r, 0, (gint32)lens[kind])]
            = (uint8_t)g_rand_int (r);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0
          && write (fd, buf, 4 + lens[kind]) > 0)
        for (int pass = 0; pass < 4; pass++)
          ev_run (loop, EVRUN_NOWAIT);
      close (fd);
      ev_run (loop, EVRUN_NOWAIT);
    }
  mm_peer_destroy (peer);
  ev_loop_destroy (loop);
}

/* Feeds mutated seeds to the decoders and mutated frames to a peer link.  In a
   mutated seed 1 to 5 random bytes are overwritten and the end is cut off.  */
int
main (int argc, char **argv)
{
  long rounds = argc > 1 ? atol (argv[1]) : 20000;
  static const char json[]
      = "{\"job_id\":\"j\",\"tasks\":[{\"id\":\"a\",\"run_ms\":5,"
        "\"deadline_ms\":50,\"idempotent\":true}]}";
  static const char toml[] = "[limits]\nmax_tasks_per_job = 10\n";
  static const char record[]
      = "{\"kind\":\"config\",\"parent\":-1,\"base\":\"[teams]\\na = 5\\n\","
        "\"overlays\":{\"lima\":\"\"}}";
  static const char report[] = "\x94\xa1"
                               "a\x05\xa1"
                               "b\xcd\x01\x00";
  GByteArray *packed = seed_packed ();
  const uint8_t *seeds[]
      = { packed->data, (const uint8_t *)json, (const uint8_t *)toml,
          (const uint8_t *)record, (const uint8_t *)report };
  size_t lens[] = { packed->len, sizeof json - 1, sizeof toml - 1,
                    sizeof record - 1, sizeof report - 1 };
  GRand *r = g_rand_new_with_seed (7);
  uint8_t buf[512];
  for (long i = 0; i < rounds; i++)
    {
      int seed = g_rand_int_range (r, 0, (gint32)G_N_ELEMENTS (seeds));
      size_t n = MIN (lens[seed], sizeof buf);
      memcpy (buf, seeds[seed], n);
      int flips = g_rand_int_range (r, 1, 6);
      for (int f = 0; f < flips; f++)
        buf[g_rand_int_range (r, 0, (gint32)n)] = (uint8_t)g_rand_int (r);
      size_t prefix_bytes = (size_t)g_rand_int_range (r, 0, (gint32)n + 1);
      LLVMFuzzerTestOneInput (buf, prefix_bytes);
    }
  fuzz_peer_frames (r, rounds / 5);
  g_rand_free (r);
  g_byte_array_free (packed, TRUE);
  printf ("fuzz_decoders: %ld rounds, no crash\n", rounds);
  return 0;
}
#endif
