/* mm_model_load: reads what a model simulates from a TOML document.  */
#include "mm_model.h"

#include <string.h>

/* A value in the document.  Integers are stored as int64_t.  */
typedef struct
{
  const char *key;
  size_t offset;
  mm_toml_type type;
  double min, max; /* max 0: no bound */
} value_spec;

#define F(field) offsetof (mm_model_load, field)
static const value_spec load_specs[] = {
  { "seed", F (seed), MM_TOML_INT, .min = 0 },
  { "length_s", F (length_s), MM_TOML_FLOAT, .min = 1 },
  { "datacentres", F (datacentres), MM_TOML_INT, .min = 1,
    .max = MM_MODEL_MAX_DATACENTRES },
  { "instances", F (instances), MM_TOML_INT, .min = 1 },
  { "upstreams", F (upstreams), MM_TOML_INT, .min = 1 },
  { "upstream_cpu_milli", F (upstream_cpu_milli), MM_TOML_FLOAT, .min = 1 },
  { "speed_spread", F (speed_spread), MM_TOML_FLOAT, .min = 1, .max = 100 },
  { "size_spread", F (size_spread), MM_TOML_FLOAT, .min = 1, .max = 100 },
  { "slow_share", F (slow_share), MM_TOML_FLOAT, .min = 0 },
  { "slow_factor", F (slow_factor), MM_TOML_FLOAT, .min = 1 },
  { "report_ms", F (report_ms), MM_TOML_FLOAT, .min = 1 },
  { "link_ms", F (link_ms), MM_TOML_FLOAT, .min = 0 },
  { "far_link_ms", F (far_link_ms), MM_TOML_FLOAT, .min = 0 },
  { "burst_from_s", F (burst_from_s), MM_TOML_FLOAT, .min = 0 },
  { "burst_for_s", F (burst_for_s), MM_TOML_FLOAT, .min = 0 },
  { "wave", F (wave), MM_TOML_FLOAT, .min = 0, .max = 1 },
  { "wave_period_s", F (wave_period_s), MM_TOML_FLOAT, .min = 0.1 },
  { "owner_misses", F (owner_misses), MM_TOML_INT, .min = 1, .max = 1000 },
  { "late_binding", F (late_binding), MM_TOML_BOOL, .min = 0 },
  { "reservations", F (reservations), MM_TOML_INT, .min = 1,
    .max = MM_RESERVATIONS_MAX },
  { "reject_early", F (reject_early), MM_TOML_BOOL, .min = 0 },
  { "overload_control", F (overload_control), MM_TOML_BOOL, .min = 0 },
  { "overload_target_ms", F (overload_target_ms), MM_TOML_FLOAT, .min = 1,
    .max = 10000 },
  { "lost_from_s", F (lost_from_s), MM_TOML_FLOAT, .min = 0 },
  { "lost_for_s", F (lost_for_s), MM_TOML_FLOAT, .min = 0 },
  { "stretch", F (stretch), MM_TOML_FLOAT, .min = 1 },
  { "slo_ms", F (slo_ms), MM_TOML_FLOAT, .min = 0 },
  { "owner_wait_ms", F (owner_wait_ms), MM_TOML_FLOAT, .min = 1 },
};
#undef F

#define F(field) offsetof (mm_model_kind, field)
static const value_spec kind_specs[] = {
  { "per_s", F (per_s), MM_TOML_FLOAT, .min = 0.001 },
  { "width", F (width), MM_TOML_FLOAT, .min = 1 },
  { "cpu_milli", F (cpu_milli), MM_TOML_FLOAT, .min = 1 },
  { "cpu_spread", F (cpu_spread), MM_TOML_FLOAT, .min = 0 },
  { "run_ms", F (run_ms), MM_TOML_FLOAT, .min = 1 },
  { "run_spread", F (run_spread), MM_TOML_FLOAT, .min = 0 },
  { "estimate_error", F (estimate_error), MM_TOML_FLOAT, .min = 0 },
  { "tail_share", F (tail_share), MM_TOML_FLOAT, .min = 0, .max = 1 },
  { "tail_factor", F (tail_factor), MM_TOML_FLOAT, .min = 1 },
  { "priority", F (priority), MM_TOML_INT, .min = 0 },
  { "burst", F (burst), MM_TOML_FLOAT, .min = 0.001 },
};
#undef F

/* Sets @error for a value that is not valid.  */
static bool
fail (const value_spec *s, const mm_toml_entry *e, GError **error)
{
  if (!s)
    g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                 "line %u: %s: no such key", e->line, e->key);
  else if (s->type == MM_TOML_BOOL)
    g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                 "line %u: %s: expected true or false", e->line, e->key);
  else
    {
      double value
          = e->type == MM_TOML_FLOAT ? e->float_value : (double)e->int_value;
      char *max = s->max > 0 ? g_strdup_printf (" to %g", s->max)
                             : g_strdup (" or more");
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                   "line %u: %s: %g: expected %s of %g%s", e->line, e->key,
                   value, s->type == MM_TOML_INT ? "an integer" : "a number",
                   s->min, max);
      g_free (max);
    }
  return false;
}

/* Stores the value @e in @target.  Returns false with @error set when its key
   or its value is not valid.  */
static bool
store_value (const value_spec *specs, size_t n, void *target, const char *key,
             const mm_toml_entry *e, GError **error)
{
  const value_spec *s = NULL;
  for (size_t i = 0; i < n; i++)
    if (strcmp (specs[i].key, key) == 0)
      s = &specs[i];
  if (!s)
    return fail (s, e, error);
  void *field = (char *)target + s->offset;
  bool is_float = s->type == MM_TOML_FLOAT && e->type == MM_TOML_FLOAT;
  if (s->type == MM_TOML_BOOL)
    {
      if (e->type != MM_TOML_BOOL)
        return fail (s, e, error);
      *(bool *)field = e->bool_value;
      return true;
    }
  double value = is_float ? e->float_value : (double)e->int_value;
  if ((e->type != MM_TOML_INT && !is_float) || !(value >= s->min)
      || (s->max > 0 && value > s->max))
    return fail (s, e, error);
  if (s->type == MM_TOML_INT)
    *(int64_t *)field = e->int_value;
  else
    *(double *)field = value;
  return true;
}

/* Returns the kind of that name, which is added if there is none yet; NULL if
   there are too many.  */
static mm_model_kind *
get_kind (mm_model_load *l, const char *name)
{
  for (size_t i = 0; i < l->n_kinds; i++)
    if (strcmp (l->kinds[i].name, name) == 0)
      return &l->kinds[i];
  if (l->n_kinds == MM_MODEL_MAX_KINDS)
    return NULL;
  mm_model_kind *k = &l->kinds[l->n_kinds++];
  *k = (mm_model_kind){ .per_s = 1,
                        .width = 1,
                        .cpu_milli = 1000,
                        .run_ms = 100,
                        .tail_factor = 1,
                        .burst = 1 };
  g_strlcpy (k->name, name, sizeof k->name);
  return k;
}

/* Stores a value of kind.NAME.KEY.  */
static bool
store_kind (mm_model_load *l, const mm_toml_entry *e, GError **error)
{
  char **part = g_strsplit (e->key, ".", 3);
  mm_model_kind *k = part[1] && part[2] ? get_kind (l, part[1]) : NULL;
  bool ok = k
            && store_value (kind_specs, G_N_ELEMENTS (kind_specs), k, part[2],
                            e, error);
  if (!k)
    g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                 "line %u: %s: expected kind.NAME.KEY, of %d kinds at most",
                 e->line, e->key, MM_MODEL_MAX_KINDS);
  g_strfreev (part);
  return ok;
}

bool
mm_model_load_parse (const mm_toml *t, mm_model_load *out, GError **error)
{
  *out = (mm_model_load){ .seed = 1,
                          .length_s = 20,
                          .datacentres = 1,
                          .instances = 1,
                          .upstreams = 1,
                          .upstream_cpu_milli = 8000,
                          .speed_spread = 1,
                          .size_spread = 1,
                          .slow_factor = 1,
                          .wave_period_s = 20,
                          .reservations = MM_DEFAULT_RESERVATIONS,
                          .overload_target_ms = MM_DEFAULT_OVERLOAD_TARGET_MS,
                          .report_ms = MM_MESH_REPORT_MS,
                          .stretch = 1,
                          .owner_wait_ms = MM_OWNER_WAIT_MS,
                          .owner_misses = MM_OWNER_MAX_MISSES,
                          .rule = MM_DISPATCH_RULE };
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      bool ok = g_str_has_prefix (e->key, "kind.")
                    ? store_kind (out, e, error)
                    : store_value (load_specs, G_N_ELEMENTS (load_specs), out,
                                   e->key, e, error);
      if (!ok)
        return false;
    }
  if (out->n_kinds > 0)
    return true;
  g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE, "no kind of job");
  return false;
}
