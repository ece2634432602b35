/* Unit tests without processes: settings, job decoding, the order of
   configuration records, the msgpack codec, rendezvous hashing, contact with
   the platform, the upstream pool and team quotas.  */
#include "harness.h"
#include "mm_cfg.h"
#include "mm_contact.h"
#include "mm_link.h"
#include "mm_pool.h"
#include "mm_quota.h"

#include <stdio.h>
#include <unistd.h>

/* Writes a temporary file and returns its path, which the caller frees.  */
static char *
write_tmp (const char *text)
{
  char *path = g_strdup_printf ("/tmp/mm-test-%d-%d.toml", getpid (),
                                g_random_int_range (0, 1 << 30));
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

/* Loads the settings of an entry instance from a text.  Returns the error,
   NULL if there is none.  */
static GError *
load_entry (const char *text)
{
  mm_entry_settings s;
  mm_entry_settings_defaults (&s);
  char *path = write_tmp (text);
  GError *err = NULL;
  mm_settings_load_file (mm_entry_setting_specs, &s, path, &err);
  unlink (path);
  g_free (path);
  return err;
}

/* A settings file has a mistyped key, a string for a port, a port out of
   range or a syntax error: the daemon must not start, and the typed error must
   name the file, line, key and reason.  */
START_TEST (bad_settings_give_typed_errors)
{
  GError *e = load_entry ("[entry]\nprot = 7100\n");
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_CONFIG_UNKNOWN_KEY));
  ck_assert (strstr (e->message, ":2: entry.prot: unknown key"));
  g_error_free (e);
  e = load_entry ("[entry]\nport = \"7100\"\n");
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_CONFIG_TYPE));
  g_error_free (e);
  e = load_entry ("[entry]\nport = 70000\n");
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_CONFIG_RANGE));
  ck_assert (strstr (e->message, "out of range 0..65535"));
  g_error_free (e);
  e = load_entry ("[entry\nport = 1\n");
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_CONFIG_SYNTAX));
  g_error_free (e);
  e = load_entry ("[entry]\nport = 7101\nupstreams = [\"127.0.0.1:1\"]\n");
  ck_assert (e == NULL);
}
END_TEST

/* A caller sends malformed JSON, an empty job or a job over the limit: each is
   refused with an error code of its own before any task is queued.  */
START_TEST (bad_jobs_give_typed_errors)
{
  GError *e = NULL;
  ck_assert (!mm_job_parse_json ("{", 1, 10, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_BAD_REQUEST));
  g_clear_error (&e);
  const char *empty = "{\"job_id\":\"j\",\"tasks\":[]}";
  ck_assert (!mm_job_parse_json (empty, strlen (empty), 10, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_JOB_SIZE));
  g_clear_error (&e);
  char *big = h_job_json ("j", 11, 1, 100, true);
  ck_assert (!mm_job_parse_json (big, strlen (big), 10, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_JOB_SIZE));
  g_clear_error (&e);
  const char *duplicate
      = "{\"job_id\":\"j\",\"tasks\":[{\"id\":\"a\"},{\"id\":\"a\"}]}";
  ck_assert (!mm_job_parse_json (duplicate, strlen (duplicate), 10, &e));
  ck_assert (strstr (e->message, "appears twice"));
  g_clear_error (&e);
  mm_job *j = mm_job_parse_json (big, strlen (big), 11, &e);
  ck_assert (j && j->n_tasks == 11 && j->tasks[3].idempotent);
  GByteArray *packed = g_byte_array_new ();
  mm_job_pack (j, packed);
  mm_job *unpacked = mm_job_unpack (packed->data, packed->len, 11, &e);
  ck_assert (unpacked && unpacked->n_tasks == 11);
  ck_assert_str_eq (unpacked->tasks[10].id, j->tasks[10].id);
  ck_assert (!mm_job_unpack (packed->data, packed->len / 2, 11, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_DECODE));
  g_clear_error (&e);
  mm_job_destroy (j);
  mm_job_destroy (unpacked);
  g_byte_array_free (packed, TRUE);
  g_free (big);
}
END_TEST

/* Returns a configuration record, which the caller frees with free().  @lima
   is the overlay for that site, NULL for none.  */
static char *
record (int64_t parent, const char *base, const char *lima)
{
  const char *sites[] = { "lima", NULL };
  const char *overlays[] = { lima, NULL };
  return mm_cfg_make_record ("config", parent, base, lima ? sites : NULL,
                             lima ? overlays : NULL);
}

/* Two operators edit the same head and publish at the same time, so that both
   records are in the log.  Every site must apply the first in log order and
   refuse the second, and the head must never go back.  */
START_TEST (config_race_has_one_winner_everywhere)
{
  mm_cfg *lima = mm_cfg_create ("lima");
  mm_cfg *buenos_aires = mm_cfg_create ("buenos-aires");
  char *r0 = record (-1, "[dispatch]\nretry_budget = 1\n", NULL);
  char *r1 = record (0, "[dispatch]\nretry_budget = 2\n",
                     "[dispatch]\nretry_budget = 0\n");
  char *r2 = record (0, "[dispatch]\nretry_budget = 3\n", NULL);
  char *r3 = record (1, "[dispatch]\nretry_budget = 4\n",
                     "[dispatch]\nretry_budget = 99\n"); /* invalid for lima */
  const char *log[] = { r0, r1, r2, r3 };
  mm_cfg *sites[] = { lima, buenos_aires };
  for (int s = 0; s < 2; s++)
    for (int i = 0; i < 4; i++)
      {
        GError *e = NULL;
        mm_cfg_apply (sites[s], i, log[i], &e);
        g_clear_error (&e);
      }
  ck_assert_int_eq (mm_cfg_head (lima), 1);
  ck_assert_int_eq (mm_cfg_head (buenos_aires), 1);
  ck_assert_int_eq (mm_cfg_current (lima)->retry_budget, 0);
  ck_assert_int_eq (mm_cfg_current (buenos_aires)->retry_budget, 2);
  ck_assert (!mm_cfg_apply (lima, 0, r0, NULL)); /* older than the head */
  ck_assert_int_eq (mm_cfg_head (lima), 1);
  char *snapshot = mm_cfg_snapshot_record (lima);
  ck_assert (mm_cfg_apply (buenos_aires, 4, snapshot, NULL));
  ck_assert_int_eq (mm_cfg_current (buenos_aires)->retry_budget, 2);
  GError *e = NULL;
  const char *lima_only[] = { "lima", NULL };
  const char *bad[] = { "[dispatch]\nretry_budget = 99\n", NULL };
  ck_assert (!mm_cfg_record_text ("config", 4, "", lima_only, bad, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_CONFIG_RANGE));
  g_clear_error (&e);
  free (snapshot);
  free (r0);
  free (r1);
  free (r2);
  free (r3);
  mm_cfg_destroy (lima);
  mm_cfg_destroy (buenos_aires);
}
END_TEST

/* When one of three members leaves, only the keys that it owned, about a
   third, may get another owner.  */
START_TEST (rendezvous_moves_only_the_keys_of_a_leaving_member)
{
  char *three[] = { "a", "b", "c" };
  char *two[] = { "a", "c" };
  int moved = 0;
  for (int i = 0; i < 300; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "job-%d", i);
      int owner_of_three = mm_hash_owner (key, three, 3);
      int owner_of_two = mm_hash_owner (key, two, 2);
      if (owner_of_three != 1)
        ck_assert_str_eq (three[owner_of_three], two[owner_of_two]);
      else
        moved++;
    }
  ck_assert (moved > 50 && moved < 150);
}
END_TEST

/* An operator edits the head; before the change is appended, an instance
   appends a snapshot of the same head.  The change must be accepted, both by
   an instance that read the whole log and by one that started at the snapshot.
   A later edit whose parent is the head before the change is refused.  */
START_TEST (snapshot_does_not_override_an_operators_change)
{
  mm_cfg *follower = mm_cfg_create ("lima"), *joining = mm_cfg_create ("lima");
  char *first = mm_cfg_make_record ("config", -1, "", NULL, NULL);
  ck_assert (mm_cfg_apply (follower, 4, first, NULL));
  char *snapshot = mm_cfg_snapshot_record (follower);
  ck_assert (mm_cfg_apply (follower, 5, snapshot, NULL));
  ck_assert (mm_cfg_adopt (joining, 5, snapshot, NULL));
  char *change = mm_cfg_make_record (
      "config", 4, "[dispatch]\nretry_budget = 9\n", NULL, NULL);
  ck_assert (mm_cfg_apply (follower, 6, change, NULL));
  ck_assert (mm_cfg_apply (joining, 6, change, NULL));
  ck_assert_int_eq (mm_cfg_current (joining)->retry_budget, 9);
  char *stale = mm_cfg_make_record ("config", 5, "", NULL, NULL);
  ck_assert (!mm_cfg_apply (follower, 7, stale, NULL));
  ck_assert (!mm_cfg_apply (joining, 7, stale, NULL));
  free (first);
  free (change);
  free (snapshot);
  free (stale);
  mm_cfg_destroy (follower);
  mm_cfg_destroy (joining);
}
END_TEST

/* A job has the same task id twice: it is refused with a typed error, whether
   it comes from a caller or from a peer.  */
START_TEST (task_ids_must_be_distinct)
{
  static const char body[]
      = "{\"job_id\":\"j\",\"tasks\":[{\"id\":\"a\"},{\"id\":\"a\"}]}";
  GError *e = NULL;
  ck_assert (!mm_job_parse_json (body, strlen (body), 10, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_BAD_REQUEST));
  g_clear_error (&e);
  mm_task tasks[2] = { { .id = "a", .payload = "", .deadline_ms = 1 },
                       { .id = "a", .payload = "", .deadline_ms = 1 } };
  mm_job job = { .id = "j", .team = "t", .n_tasks = 2, .tasks = tasks };
  GByteArray *packed = g_byte_array_new ();
  mm_job_pack (&job, packed);
  ck_assert (!mm_job_unpack (packed->data, packed->len, 10, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_BAD_REQUEST));
  g_error_free (e);
  g_byte_array_free (packed, TRUE);
}
END_TEST

/* An instance that cannot reach the platform asks its peers whether they can.
   If any peer is in contact with the platform, only this instance is
   disconnected (MM_STANDING_DISCONNECTED).  If all answers come from peers
   that lost contact too, the platform has an outage (MM_STANDING_OUTAGE).
   Without an answer the instance waits for a short time and is then
   MM_STANDING_ALONE.  */
START_TEST (standing_follows_the_answers_of_peers)
{
  mm_contact *c = mm_contact_create (0);
  const char *peer = NULL;
  mm_contact_record (c, false, 400);
  ck_assert_int_eq (mm_contact_standing (c, 2, 400, &peer),
                    MM_STANDING_CONTACT);
  mm_contact_record (c, false, 600);
  ck_assert_int_eq (mm_contact_standing (c, 0, 600, &peer),
                    MM_STANDING_OUTAGE);
  ck_assert_int_eq (mm_contact_standing (c, 2, 600, &peer),
                    MM_STANDING_CONTACT);
  ck_assert_int_eq (mm_contact_standing (c, 2, 1600, &peer),
                    MM_STANDING_ALONE);
  mm_contact_record_vote (c, "b", false, 700);
  ck_assert_int_eq (mm_contact_standing (c, 2, 800, &peer),
                    MM_STANDING_OUTAGE);
  mm_contact_record_vote (c, "a", true, 800);
  ck_assert_int_eq (mm_contact_standing (c, 2, 900, &peer),
                    MM_STANDING_DISCONNECTED);
  ck_assert_str_eq (peer, "a");
  mm_contact_record (c, true, 1000);
  ck_assert_int_eq (mm_contact_standing (c, 2, 1000, &peer),
                    MM_STANDING_CONTACT);
  ck_assert (mm_contact_list_incomplete (c, 3900));
  ck_assert (!mm_contact_list_incomplete (c, 4100));
  mm_contact_destroy (c);
}
END_TEST

/* A job was accepted while upstreams a and b were listed, and b restarts.  The
   report of b's new incarnation must not count as that of the previous one,
   which may have run tasks of the job.  */
START_TEST (restarted_upstream_does_not_cover_its_previous_incarnation)
{
  mm_pool *p = mm_pool_create (8);
  mm_pool_list_begin (p, 0);
  mm_pool_add (p, "a", "a", 8, 11);
  mm_pool_add (p, "b", "b", 8, 22);
  mm_pool_list_end (p);
  uint64_t accepted_fingerprint = mm_pool_list_fingerprint (p);
  mm_pool_list_begin (p, 0);
  mm_pool_add (p, "a", "a", 8, 11);
  mm_pool_add (p, "b", "b", 8, 33);
  mm_pool_add (p, "c", "c", 8, 44);
  mm_pool_list_end (p);
  ck_assert (accepted_fingerprint != mm_pool_list_fingerprint (p));
  int64_t a = (int64_t)mm_pool_incarnation_hash ("a", 11);
  int64_t b_previous = (int64_t)mm_pool_incarnation_hash ("b", 22);
  int64_t b_new = (int64_t)mm_pool_incarnation_hash ("b", 33);
  GHashTable *reported = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_hash_table_add (reported, &a);
  g_hash_table_add (reported, &b_new);
  ck_assert (!mm_pool_all_reported (p, reported, accepted_fingerprint));
  g_hash_table_add (reported, &b_previous);
  ck_assert (mm_pool_all_reported (p, reported, accepted_fingerprint));
  g_hash_table_destroy (reported);
  mm_pool_destroy (p);
}
END_TEST

/* An upstream fails every task that it starts.  It is ejected, then half-open:
   it gets one task at a time, and each failure doubles the time of its
   ejection until a task succeeds.  A peer's report that it ejected the
   upstream makes the upstream half-open at once.  */
START_TEST (failing_upstream_stays_half_open)
{
  mm_pool *p = mm_pool_create (8);
  int i = mm_pool_add (p, "w", "w", 8, 1);
  for (int n = 0; n < 3; n++)
    {
      mm_pool_task_sent (p, i);
      ck_assert (mm_pool_task_ended (p, i, MM_OUTCOME_FAILED, 0, 0, 3, 100)
                 == (n == 2));
    }
  ck_assert_int_eq (mm_pool_pick (p, 99), -1);
  ck_assert_int_eq (mm_pool_pick (p, 100), i);
  mm_pool_task_sent (p, i);
  ck_assert_int_eq (mm_pool_pick (p, 100), -1);
  ck_assert (mm_pool_task_ended (p, i, MM_OUTCOME_FAILED, 0, 100, 3, 100));
  ck_assert_int_eq (mm_pool_pick (p, 299), -1);
  ck_assert_int_eq (mm_pool_pick (p, 300), i);
  mm_pool_task_sent (p, i);
  ck_assert (!mm_pool_task_ended (p, i, MM_OUTCOME_OK, 0, 310, 3, 100));
  ck_assert_int_eq (mm_pool_free_slots (p, 310), 8);
  mm_pool_put_on_trial (p, i);
  ck_assert_int_eq (mm_pool_free_slots (p, 310), 1);
  mm_pool_destroy (p);
}
END_TEST

/* Gives every team a quota of 100 tasks.  */
static int64_t
quota_100 (const char *team, void *ctx)
{
  return 100;
}

/* Two instances report the usage of their teams to each other: usage adds up,
   small usage is not reported, the report of an unresponsive peer expires, and
   a malformed report changes nothing.  */
START_TEST (usage_adds_up_and_expires)
{
  mm_quota *a = mm_quota_create (), *b = mm_quota_create ();
  mm_quota_add (a, "big", 30);
  mm_quota_add (a, "small", 2);
  mm_quota_add (b, "big", 40);
  GByteArray *report = g_byte_array_new ();
  ck_assert (mm_quota_report (a, 2, quota_100, NULL, report));
  ck_assert (
      mm_quota_apply_report (b, "a", report->data, report->len, 0, NULL));
  ck_assert_int_eq (mm_quota_used (b, "big", 100), 70);
  ck_assert_int_eq (mm_quota_used (b, "small", 100), 0);
  GError *e = NULL;
  ck_assert (
      !mm_quota_apply_report (b, "a", report->data, report->len - 1, 0, &e));
  ck_assert (g_error_matches (e, MM_ERROR, MM_ERROR_DECODE));
  g_error_free (e);
  ck_assert_int_eq (mm_quota_used (b, "big", 100), 70);
  ck_assert_int_eq (mm_quota_used (b, "big", 5000), 40);
  mm_quota_add (a, "big", -30);
  g_byte_array_set_size (report, 0);
  ck_assert (mm_quota_report (a, 2, quota_100, NULL, report));
  g_byte_array_set_size (report, 0);
  ck_assert (!mm_quota_report (a, 2, quota_100, NULL, report));
  g_byte_array_free (report, TRUE);
  mm_quota_destroy (a);
  mm_quota_destroy (b);
}
END_TEST

/* A decoder may crash on a malformed body.  Runs fuzz_decoders, which feeds
   mutated bodies to the decoders: none may crash.  */
START_TEST (decoders_survive_fuzzing)
{
  char *cmd
      = g_strdup_printf ("%s/fuzz_decoders 20000 > /dev/null", MM_BIN_DIR);
  ck_assert_int_eq (system (cmd), 0);
  g_free (cmd);
}
END_TEST

/* Guards against a test that fails because another program uses its ports.  */
START_TEST (ports_in_use_are_not_given_to_a_test)
{
  int base = h_port_base ();
  ck_assert (h_ports_are_free (base, 8));
  int fd = mm_link_listen ("127.0.0.1", (uint16_t)(base + 7), NULL);
  ck_assert_int_ge (fd, 0);
  ck_assert (!h_ports_are_free (base, 8));
  ck_assert (h_ports_are_free (base, 7));
  close (fd);
  ck_assert (h_ports_are_free (base, 8));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("units");
  TCase *tc = tcase_create ("units");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, bad_settings_give_typed_errors);
  tcase_add_test (tc, bad_jobs_give_typed_errors);
  tcase_add_test (tc, config_race_has_one_winner_everywhere);
  tcase_add_test (tc, rendezvous_moves_only_the_keys_of_a_leaving_member);
  tcase_add_test (tc, snapshot_does_not_override_an_operators_change);
  tcase_add_test (tc, task_ids_must_be_distinct);
  tcase_add_test (tc, standing_follows_the_answers_of_peers);
  tcase_add_test (tc,
                  restarted_upstream_does_not_cover_its_previous_incarnation);
  tcase_add_test (tc, failing_upstream_stays_half_open);
  tcase_add_test (tc, usage_adds_up_and_expires);
  tcase_add_test (tc, ports_in_use_are_not_given_to_a_test);
  tcase_add_test (tc, decoders_survive_fuzzing);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
