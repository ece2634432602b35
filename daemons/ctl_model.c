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

/* Prints one line, a JSON object, for a kind of job.  */
static void
print_kind (const mm_model_load *load, const char *way, double used,
            const char *kind, const mm_model_result *r)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "way", way);
  cJSON_AddStringToObject (o, "kind", kind);
  cJSON_AddNumberToObject (o, "seed", (double)load->seed);
  cJSON_AddNumberToObject (o, "used", used);
  double jobs = MAX (r->jobs, 1);
  cJSON_AddNumberToObject (o, "jobs", r->jobs);
  cJSON_AddNumberToObject (o, "on_time", r->on_time / jobs);
  cJSON_AddNumberToObject (o, "late", r->late / jobs);
  cJSON_AddNumberToObject (o, "refused", r->refused / jobs);
  cJSON_AddNumberToObject (o, "refused_though_free",
                           r->refused_though_free / jobs);
  cJSON_AddNumberToObject (o, "given_up", r->given_up / jobs);
  cJSON_AddNumberToObject (o, "returned",
                           r->returned / (double)MAX (r->handed, 1));
  cJSON_AddNumberToObject (o, "wait_ms",
                           r->wait_ms / (double)MAX (r->started, 1));
  char *text = cJSON_PrintUnformatted (o);
  printf ("%s\n", text);
  free (text);
  cJSON_Delete (o);
}

/* Plays the load once and prints a line for each kind.  */
static void
play (const mm_model_load *load, const char *way)
{
  mm_model_result results[MM_MODEL_MAX_KINDS];
  double used = mm_model_play (load, results);
  for (size_t i = 0; i < load->n_kinds; i++)
    print_kind (load, way, used, load->kinds[i].name, &results[i]);
}

int
ctl_model (const char *file)
{
  GError *err = NULL;
  mm_model_load load;
  mm_toml *document = mm_toml_parse_file (file, &err);
  bool ok = document && mm_model_load_parse (document, &load, &err);
  mm_toml_destroy (document);
  if (!ok)
    return ctl_print_error (err);
  for (size_t i = 0; i < G_N_ELEMENTS (rule_names); i++)
    {
      load.rule = (mm_dispatch_rule)i;
      play (&load, rule_names[i]);
    }
  load.one_owner = true;
  play (&load, "one_owner");
  return 0;
}
