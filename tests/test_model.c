/* Plays loads in the model of the decisions and checks what callers get.  */
#include "harness.h"
#include "mm_model.h"

#include <check.h>
#include <string.h>

/* What callers are to get while there is capacity for all of them.  */
#define ON_TIME_MIN 0.95
#define REFUSED_MAX 0.002

static mm_model_load
read_load (const char *name)
{
  GError *error = NULL;
  mm_model_load load;
  char *path = g_strdup_printf (MM_SOURCE_DIR "/examples/model/%s.toml", name);
  mm_toml *t = mm_toml_parse_file (path, &error);
  ck_assert_msg (t && mm_model_load_parse (t, &load, &error), "%s",
                 error ? error->message : "");
  mm_toml_destroy (t);
  g_free (path);
  return load;
}

/* Plays a load for @length_s, with @factor times its jobs, and asserts that
   callers of each kind of job are served.  */
static void
assert_served (const char *name, double length_s, double factor)
{
  mm_model_load load = read_load (name);
  load.length_s = length_s;
  for (size_t i = 0; i < load.n_kinds; i++)
    load.kinds[i].per_s *= factor;
  mm_model_result r[MM_MODEL_MAX_KINDS];
  mm_model_play (&load, r);
  for (size_t i = 0; i < load.n_kinds; i++)
    {
      ck_assert_msg (r[i].all.on_time >= ON_TIME_MIN * r[i].all.jobs,
                     "%s, %s: %u of %u on time", name, load.kinds[i].name,
                     r[i].all.on_time, r[i].all.jobs);
      ck_assert_msg (r[i].all.refused <= REFUSED_MAX * r[i].all.jobs,
                     "%s, %s: %u of %u refused", name, load.kinds[i].name,
                     r[i].all.refused, r[i].all.jobs);
    }
}

/* Guards against jobs that are late or refused while upstreams are free: of
   the tasks, two fit on one upstream or one, depending on their sizes.  */
START_TEST (tasks_of_half_an_upstream_are_on_time)
{
  assert_served ("halves", 8, 1);
  assert_served ("halves", 8, 1.2); /* two thirds of the capacity are used */
}
END_TEST

/* Guards against the same for small tasks.  */
START_TEST (tasks_of_a_tenth_of_an_upstream_are_on_time)
{
  assert_served ("tenths", 3, 1);
}
END_TEST

/* Each job has one outcome, and a seed always gives the same.  */
START_TEST (plays_of_one_seed_are_equal)
{
  mm_model_load load = read_load ("lost_datacentre");
  mm_model_result a[MM_MODEL_MAX_KINDS], b[MM_MODEL_MAX_KINDS];
  double used = mm_model_play (&load, a);
  ck_assert_double_eq (mm_model_play (&load, b), used);
  ck_assert_mem_eq (a, b, load.n_kinds * sizeof *a);
  for (size_t i = 0; i < load.n_kinds; i++)
    ck_assert_uint_eq (a[i].all.jobs, a[i].all.on_time + a[i].all.late
                                          + a[i].all.refused
                                          + a[i].all.given_up);
}
END_TEST

/* Guards against a load that is not the stated one because of a misspelt key
   or a value out of range.  */
START_TEST (loads_with_unknown_keys_are_refused)
{
  static const char *const bad[]
      = { "uptreams = 3\n[kind.a]\nper_s = 1\n", "[kind.a]\nwide = 2\n",
          "upstreams = 0\n[kind.a]\nper_s = 1\n", "seed = 1\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      GError *error = NULL;
      mm_model_load load;
      mm_toml *t = mm_toml_parse_string (bad[i], "test", &error);
      ck_assert_ptr_nonnull (t);
      ck_assert (!mm_model_load_parse (t, &load, &error));
      ck_assert_ptr_nonnull (error);
      g_error_free (error);
      mm_toml_destroy (t);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("model");
  TCase *c = tcase_create ("model");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, tasks_of_half_an_upstream_are_on_time);
  tcase_add_test (c, tasks_of_a_tenth_of_an_upstream_are_on_time);
  tcase_add_test (c, plays_of_one_seed_are_equal);
  tcase_add_test (c, loads_with_unknown_keys_are_refused);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
