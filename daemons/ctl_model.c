/* masticctl model: plays a load in the model of the decisions and prints what
   the callers of each kind of job get.  */
#include "ctl.h"

#include "config.h"
#include "mm_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const rule_names[]
    = { [MM_DISPATCH_MOST_FREE] = "most_free",
        [MM_DISPATCH_MOST_FITS] = "most_fits",
        [MM_DISPATCH_TIGHTEST] = "tightest" };

/* A play of which the results are printed.  */
typedef struct
{
  const mm_model_load *load;
  const char *way;
  double factor; /* of the load, 0: the load as it is */
  double used;
} play;

static void
add_share (cJSON *o, const char *name, uint32_t part, uint32_t whole)
{
  cJSON_AddNumberToObject (o, name, part / (double)MAX (whole, 1));
}

/* Returns an object for some jobs of a kind.  */
static cJSON *
outcomes_new (const play *p, const char *kind, const mm_model_outcomes *o)
{
  cJSON *line = cJSON_CreateObject ();
  cJSON_AddStringToObject (line, "way", p->way);
  cJSON_AddStringToObject (line, "kind", kind);
  if (p->factor > 0)
    cJSON_AddNumberToObject (line, "load", p->factor);
  cJSON_AddNumberToObject (line, "seed", (double)p->load->seed);
  cJSON_AddNumberToObject (line, "used", p->used);
  cJSON_AddNumberToObject (line, "jobs", o->jobs);
  cJSON_AddNumberToObject (line, "on_time_per_s",
                           o->on_time / p->load->length_s);
  add_share (line, "on_time", o->on_time, o->jobs);
  add_share (line, "late", o->late, o->jobs);
  add_share (line, "refused", o->refused, o->jobs);
  add_share (line, "rejected", o->rejected, o->jobs);
  add_share (line, "given_up", o->given_up, o->jobs);
  return line;
}

static void
print_line (cJSON *line)
{
  char *text = cJSON_PrintUnformatted (line);
  printf ("%s\n", text);
  free (text);
  cJSON_Delete (line);
}

/* Prints a line for a kind of job, and one for its largest jobs.  */
static void
print_kind (const play *p, const char *kind, const mm_model_result *r)
{
  cJSON *o = outcomes_new (p, kind, &r->all);
  add_share (o, "refused_though_free", r->refused_though_free, r->all.jobs);
  add_share (o, "returned", r->returned, r->handed);
  cJSON_AddNumberToObject (o, "wait_ms",
                           r->wait_ms / (double)MAX (r->started, 1));
  cJSON_AddNumberToObject (o, "rejected_held_ms",
                           r->rejected_held_ms / MAX (r->all.rejected, 1));
  cJSON_AddNumberToObject (o, "given_up_held_ms",
                           r->given_up_held_ms / MAX (r->all.given_up, 1));
  add_share (o, "reservations_a_start", r->reserved, r->started);
  add_share (o, "offers_a_start", r->offers, r->started);
  double used = MAX (r->used_milli_ms, 1);
  cJSON_AddNumberToObject (o, "set_aside", r->set_aside_milli_ms / used);
  cJSON_AddNumberToObject (o, "used_on_time", r->on_time_milli_ms / used);
  cJSON_AddNumberToObject (o, "on_time_cores",
                           r->on_time_milli_ms / 1e6 / p->load->length_s);
  print_line (o);
  o = outcomes_new (p, kind, &r->largest);
  cJSON_AddStringToObject (o, "part", "largest tenth");
  print_line (o);
}

/* Prints a line for the jobs of a kind in each data centre.  */
static void
print_datacentres (const play *p, const char *kind, const mm_model_result *r)
{
  for (int64_t i = 0; i < p->load->datacentres; i++)
    {
      cJSON *o = outcomes_new (p, kind, &r->datacentres[i]);
      cJSON_AddNumberToObject (o, "datacentre", (double)i);
      print_line (o);
    }
}

/* Plays a load once and prints the results.  */
static void
play_load (const mm_model_load *load, const char *way, double factor)
{
  mm_model_load scaled = *load;
  for (size_t i = 0; i < scaled.n_kinds && factor > 0; i++)
    scaled.kinds[i].per_s *= factor;
  mm_model_result results[MM_MODEL_MAX_KINDS];
  play p = { .load = &scaled, .way = way, .factor = factor };
  p.used = mm_model_play (&scaled, results);
  for (size_t i = 0; i < load->n_kinds; i++)
    {
      print_kind (&p, load->kinds[i].name, &results[i]);
      if (load->datacentres > 1)
        print_datacentres (&p, load->kinds[i].name, &results[i]);
    }
}

static bool
read_load (const char *file, mm_model_load *load, GError **error)
{
  mm_toml *document = mm_toml_parse_file (file, error);
  bool ok = document && mm_model_load_parse (document, load, error);
  mm_toml_destroy (document);
  return ok;
}

int
ctl_model (const char *file)
{
  GError *err = NULL;
  mm_model_load load;
  if (!read_load (file, &load, &err))
    return ctl_print_error (err);
  for (size_t i = 0; i < G_N_ELEMENTS (rule_names); i++)
    {
      load.rule = (mm_dispatch_rule)i;
      play_load (&load, rule_names[i], 0);
    }
  load.one_owner = true;
  play_load (&load, "one_owner", 0);
  return 0;
}

/* Plays a load at a multiple of its rates, with the current decisions, with
   late binding and overload control, and with one owner that has complete
   information.  */
static void
play_ways (const mm_model_load *load, double factor)
{
  mm_model_load l = *load;
  l.rule = MM_DISPATCH_RULE;
  l.late_binding = l.overload_control = false;
  play_load (&l, "current", factor);
  l.late_binding = l.overload_control = true;
  play_load (&l, "new", factor);
  l.one_owner = true;
  play_load (&l, "one_owner", factor);
}

int
ctl_model_sweep (const char *file)
{
  static const double factors[] = { 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3 };
  GError *err = NULL;
  mm_model_load load;
  if (!read_load (file, &load, &err))
    return ctl_print_error (err);
  for (size_t i = 0; i < G_N_ELEMENTS (factors); i++)
    play_ways (&load, factors[i]);
  return 0;
}
