/* mm_model_load: reads what a model simulates from a TOML document.  */
#include "mm_model.h"

#include <string.h>

/* A number in the document.  Integers are stored as int64_t.  */
typedef struct
{
  const char *key;
  size_t offset;
  bool is_integer;
  double min;
} number_spec;

#define F(field) offsetof (mm_model_load, field)
static const number_spec load_specs[] = {
  { "seed", F (seed), true, 0 },
  { "length_s", F (length_s), false, 1 },
  { "datacentres", F (datacentres), true, 1 },
  { "instances", F (instances), true, 1 },
  { "upstreams", F (upstreams), true, 1 },
  { "upstream_cpu_milli", F (upstream_cpu_milli), false, 1 },
  { "slow_share", F (slow_share), false, 0 },
  { "slow_factor", F (slow_factor), false, 1 },
  { "report_ms", F (report_ms), false, 1 },
  { "link_ms", F (link_ms), false, 0 },
  { "burst_from_s", F (burst_from_s), false, 0 },
  { "burst_for_s", F (burst_for_s), false, 0 },
  { "lost_from_s", F (lost_from_s), false, 0 },
  { "lost_for_s", F (lost_for_s), false, 0 },
  { "stretch", F (stretch), false, 1 },
  { "slo_ms", F (slo_ms), false, 0 },
  { "owner_wait_ms", F (owner_wait_ms), false, 1 },
};
#undef F

#define F(field) offsetof (mm_model_kind, field)
static const number_spec kind_specs[] = {
  { "per_s", F (per_s), false, 0.001 },
  { "width", F (width), false, 1 },
  { "cpu_milli", F (cpu_milli), false, 1 },
  { "cpu_spread", F (cpu_spread), false, 0 },
  { "run_ms", F (run_ms), false, 1 },
  { "run_spread", F (run_spread), false, 0 },
  { "estimate_error", F (estimate_error), false, 0 },
  { "priority", F (priority), true, 0 },
  { "burst", F (burst), false, 0.001 },
};
#undef F

/* Stores the number @e in @target.  Returns false with @error set when its key
   or its value is not valid.  */
static bool
store_number (const number_spec *specs, size_t n, void *target,
              const char *key, const mm_toml_entry *e, GError **error)
{
  const number_spec *s = NULL;
  for (size_t i = 0; i < n; i++)
    if (strcmp (specs[i].key, key) == 0)
      s = &specs[i];
  bool is_float = e->type == MM_TOML_FLOAT;
  double value = is_float ? e->float_value : (double)e->int_value;
  if (!s || (e->type != MM_TOML_INT && !is_float)
      || (is_float && s->is_integer) || value < s->min)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE, "line %u: %s: %s",
                   e->line, e->key,
                   s ? "not a number in range" : "no such key");
      return false;
    }
  char *field = (char *)target + s->offset;
  if (s->is_integer)
    *(int64_t *)(void *)field = e->int_value;
  else
    *(double *)(void *)field = value;
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
  *k = (mm_model_kind){
    .per_s = 1, .width = 1, .cpu_milli = 1000, .run_ms = 100, .burst = 1
  };
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
            && store_number (kind_specs, G_N_ELEMENTS (kind_specs), k, part[2],
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
                          .slow_factor = 1,
                          .report_ms = MM_MESH_REPORT_MS,
                          .stretch = 1,
                          .owner_wait_ms = MM_OWNER_WAIT_MS,
                          .rule = MM_DISPATCH_RULE };
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      bool ok = g_str_has_prefix (e->key, "kind.")
                    ? store_kind (out, e, error)
                    : store_number (load_specs, G_N_ELEMENTS (load_specs), out,
                                    e->key, e, error);
      if (!ok)
        return false;
    }
  if (out->n_kinds > 0)
    return true;
  g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE, "no kind of job");
  return false;
}
