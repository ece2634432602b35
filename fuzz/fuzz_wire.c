/* fuzz_wire: feeds untrusted bytes to the decoders of platform/, of the
   native protocol and of the messages between instances.

   Built without MM_LIBFUZZER, the program mutates seed inputs for N rounds
   (its argument, default 20000) and exits with 0 if no decoder crashed; run it
   under valgrind or ASan to find memory errors.  Built with clang
   -fsanitize=fuzzer -DMM_LIBFUZZER, it is a libFuzzer target.  */
#include "mm_kept_wire.h"
#include "mm_mesh_msg.h"
#include "mm_native.h"
#include "mm_run_json.h"
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Feeds one input to the decoders of platform/.  */
static void
try_platform (const char *text, size_t size)
{
  mm_submission_free (
      pf_submission_decode ("0123456789abcdef", text, size, NULL));
  mm_routes_unref (pf_routes_decode (text, size, NULL));
  mm_upstream_info_free (pf_upstream_decode ("u", text, size, NULL));
  mm_hold_result hold = { 0 };
  pf_hold_decode (text, size, &hold);
  g_free ((void *)hold.running);
  g_free ((void *)hold.ended);
  char *name = g_strndup (text, size);
  mm_task_id id;
  pf_task_decode (name, &id);
  g_free (name);
}

/* Feeds one input to the decoders of the native protocol: submissions, orders,
   holds and lists of runs.  */
static void
try_native (const char *text, size_t size)
{
  mm_time_ms caller_timeout_ms;
  mm_submission_free (
      mm_native_submission_parse (text, size, &caller_timeout_ms, NULL));
  cJSON *object = cJSON_ParseWithLength (text, size);
  mm_order order;
  mm_hold hold;
  mm_task_id id;
  mm_run_json_read_order (object, &order, &id);
  mm_run_json_read_hold (object, &hold);
  mm_hold_result lists = { 0 };
  mm_exec_wire_read_lists (&mm_native_exec_wire, object, &lists);
  g_free ((void *)lists.running);
  g_free ((void *)lists.ended);
  cJSON_Delete (object);
}

/* Feeds each msgpack object of one input to the decoder of messages between
   instances.  */
static void
try_mesh (const uint8_t *data, size_t size)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  size_t off = 0;
  while (msgpack_unpack_next (&msg, (const char *)data, size, &off)
         == MSGPACK_UNPACK_SUCCESS)
    {
      mm_mesh_msg m;
      mm_mesh_msg_read (&msg.data, &m);
      mm_mesh_msg_clear (&m);
    }
  msgpack_unpacked_destroy (&msg);
}

/* Ignores an acknowledged end: only the decoder is tested.  */
static void
ignore_end_ack (void *ctx, const mm_task_id *task, uint32_t hash)
{
}

/* Feeds one input to the decoders of kept jobs and task searches.  */
static void
try_kept (const uint8_t *data, size_t size)
{
  mm_kept_answer kept_answer;
  mm_kept_answer_read (data, size, &kept_answer);
  mm_job_record_destroy (mm_job_record_unpack (data, size, NULL));
  GHashTable *tasks = mm_task_set_read (data, size);
  if (tasks)
    g_hash_table_destroy (tasks);
  mm_search_result result = mm_search_result_init ();
  mm_search_result_read (data, size, &result);
  mm_search_result_clear (&result);
  mm_end_acks_read (data, size, ignore_end_ack, NULL);
  char job_id[MM_JOB_ID_MAX + 1];
  tasks = mm_foreign_request_read (data, size, job_id);
  if (tasks)
    g_hash_table_destroy (tasks);
  mm_foreign_answer_read (data, size, &kept_answer, &tasks);
  if (tasks)
    g_hash_table_destroy (tasks);
}

/* Feeds one input to every decoder.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  try_kept (data, size);
  try_platform ((const char *)data, size);
  try_native ((const char *)data, size);
  try_mesh (data, size);
  return 0;
}

#ifndef MM_LIBFUZZER
/* Packs one message of each kind that instances exchange, except updates.  */
static msgpack_sbuffer
mesh_seed (void)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_task_request request = { .id = { .job = "job", .step = 1, .index = 2 },
                              .service = "svc",
                              .payload = "p",
                              .resources = { .cpu_milli = 14000 } };
  mm_work_result work = { .how = MM_END_DONE, .upstream = "u", .why = "" };
  mm_mesh_service_capacity capacity
      = { .service = "svc", .capacity = { 10, 4, 1 } };
  mm_mesh_pack_run (&b, 7, &request);
  mm_mesh_pack_ended (&b, 7, &work);
  mm_mesh_pack_report (&b, 7, "node", false, &capacity, 1);
  mm_mesh_pack_report_time (&b, 77);
  mm_mesh_pack_released (&b, "room-dc1");
  mm_mesh_pack_cancel (&b, 7);
  mm_mesh_pack_request (&b, 7, 1, "x", 1);
  mm_mesh_pack_answer (&b, 7, "x", 1);
  mm_found_run found = { .upstream = "up", .task = request.id, .run = 1 };
  mm_mesh_pack_found (&b, &found);
  uint64_t task_hash = 7;
  mm_loss loss = { .upstream = "up",
                   .addr = "127.0.0.1:1",
                   .occurrence = 1,
                   .tasks = &task_hash,
                   .n_tasks = 1 };
  mm_mesh_pack_loss (&b, &loss);
  mm_mesh_pack_heartbeat (&b, 99, 20, 170);
  mm_mesh_pack_hello (&b, "node");
  return b;
}

/* Packs a message that instances exchange about kept jobs: acknowledgements
   of ends (kind 0), a search result (1) or an answer (2).  */
static msgpack_sbuffer
kept_seed (int kind)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_task_id id = { .job = "job", .step = 1, .index = 2 };
  mm_end_ack ack = { .task = id, .run_hash = 7 };
  mm_found_end end = { .task = id, .how = MM_END_DONE, .run_hash = 7 };
  mm_kept_answer answer = { .status = MM_KEPT_OK, .pending = 3 };
  mm_search_result result = mm_search_result_init ();
  uint64_t hash = 9;
  g_array_append_val (result.clear_upstreams, hash);
  g_array_append_val (result.ends, end);
  if (kind == 0)
    mm_end_acks_pack (&b, &ack, 1);
  else if (kind == 1)
    mm_search_result_pack (&b, &result);
  else
    mm_kept_answer_pack (&b, &answer);
  mm_search_result_clear (&result);
  return b;
}

/* Packs the record of a kept job with two steps.  */
static msgpack_sbuffer
record_seed (void)
{
  static const char job[]
      = "{\"spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":5,\"memMb\":2,"
        "\"estimateMs\":9},{\"count\":1,\"after\":[0]}]}";
  mm_route route = { .name = "q", .service = "s", .attempts = 2 };
  mm_submission *submission
      = pf_submission_decode ("0123456789abcdef", job, strlen (job), NULL);
  mm_job_record *record = mm_job_record_create (submission, &route);
  GBytes *bytes = mm_job_record_pack (record);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  msgpack_sbuffer_write (&b, data, len);
  g_bytes_unref (bytes);
  mm_job_record_destroy (record);
  return b;
}

/* Feeds mutated seeds to the decoders.  In a mutated seed 1 to 5 random bytes
   are overwritten and the end is cut off.  */
int
main (int argc, char **argv)
{
  long rounds = argc > 1 ? atol (argv[1]) : 20000;
  static const char *const texts[] = {
    "{\"spec\":\"t\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":500,"
    "\"memMb\":2,\"estimateMs\":9},{\"count\":2,\"after\":[0]}]}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"pathPrefix\":\"/p/\",\"sloMs\":60,\"priority\":0,\"service\":\"s\","
    "\"attempts\":4,\"stretch\":1.6}],\"services\":[]}",
    "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":8,"
    "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"memMb\":2,\"gpu\":0},"
    "\"labels\":[\"a\"]}",
    "{\"clockMs\":1,\"running\":[[\"j.0.1.2\",2,\"\",41]],"
    "\"finished\":[[58,\"j.0.1.9\",1,\"done\",\"\"]]}",
    "{\"job\":\"j\",\"step\":1,\"index\":2,\"run\":3,\"payload\":\"{}\","
    "\"fence\":4,\"acked_seq\":1,\"deadline_ms\":5}",
    "{\"running\":[{\"job\":\"j\",\"step\":0,\"index\":0,\"run\":1,"
    "\"percent\":5}],\"ended\":[{\"job\":\"j\",\"step\":0,\"index\":1,"
    "\"run\":1,\"seq\":9,\"how\":2}]}",
    "{\"job_id\":\"j\",\"tasks\":[{\"id\":\"a\",\"run_ms\":5,"
    "\"deadline_ms\":50,\"idempotent\":true}]}",
    "5c0e7a21d94b36f8.0.1.17",
  };
  msgpack_sbuffer packed[] = { mesh_seed (), record_seed (), kept_seed (0),
                               kept_seed (1), kept_seed (2) };
  g_log_set_writer_func (g_log_writer_default, NULL, NULL);
  GRand *rand = g_rand_new_with_seed (7);
  uint8_t buf[512];
  for (long i = 0; i < rounds; i++)
    {
      const int n_texts = (int)G_N_ELEMENTS (texts);
      int seed_no = g_rand_int_range (rand, 0,
                                      n_texts + (gint32)G_N_ELEMENTS (packed));
      bool is_text = seed_no < n_texts;
      const void *seed = is_text
                             ? texts[seed_no]
                             : (const void *)packed[seed_no - n_texts].data;
      size_t n = MIN (is_text ? strlen (texts[seed_no])
                              : packed[seed_no - n_texts].size,
                      sizeof buf);
      memcpy (buf, seed, n);
      for (int f = g_rand_int_range (rand, 1, 6); f > 0; f--)
        buf[g_rand_int_range (rand, 0, (gint32)n)]
            = (uint8_t)g_rand_int (rand);
      LLVMFuzzerTestOneInput (
          buf, (size_t)g_rand_int_range (rand, 0, (gint32)n + 1));
    }
  g_rand_free (rand);
  for (size_t i = 0; i < G_N_ELEMENTS (packed); i++)
    msgpack_sbuffer_destroy (&packed[i]);
  printf ("fuzz_wire: %ld rounds, no crash\n", rounds);
  return 0;
}
#endif
