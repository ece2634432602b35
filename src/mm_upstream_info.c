/* mm_upstream_info: copies of entries in the upstream list, and which tasks
   the upstreams may run.  */
#include "mm_upstream_info.h"

#include <string.h>

mm_upstream_info *
mm_upstream_info_copy (const mm_upstream_info *u)
{
  mm_upstream_info *c = g_new (mm_upstream_info, 1);
  *c = *u;
  c->name = g_strdup (u->name);
  c->addr = g_strdup (u->addr);
  c->service = g_strdup (u->service);
  c->datacentre = g_strdup (u->datacentre);
  c->labels = g_strdupv (u->labels);
  return c;
}

void
mm_upstream_info_free (mm_upstream_info *u)
{
  if (!u)
    return;
  g_free (u->name);
  g_free (u->addr);
  g_free (u->service);
  g_free (u->datacentre);
  g_strfreev (u->labels);
  g_free (u);
}

bool
mm_upstream_info_has_label (const mm_upstream_info *u, const char *label)
{
  return !label
         || (u->labels
             && g_strv_contains ((const char *const *)u->labels, label));
}

bool
mm_upstream_info_suits (const mm_upstream_info *u, const mm_task_request *t)
{
  return strcmp (u->service, t->service) == 0
         && mm_upstream_info_has_label (u, t->label)
         && mm_resources_fit (&t->resources, &u->capacity);
}

static bool
is_text (const char *text, size_t max_bytes)
{
  return text && *text && strlen (text) <= max_bytes
         && g_utf8_validate (text, -1, NULL);
}

/* Returns whether @addr is "host:port".  The host may be an IPv6 address in
   brackets.  */
static bool
is_address (const char *addr)
{
  const char *colon
      = is_text (addr, MM_UPSTREAM_TEXT_MAX) ? strrchr (addr, ':') : NULL;
  if (!colon || colon == addr)
    return false;
  for (const char *c = addr; c < colon; c++)
    if (!g_ascii_isalnum (*c) && !strchr (".-_:[]", *c))
      return false;
  return g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, NULL,
                                     NULL);
}

static bool
are_labels (char *const *labels)
{
  guint n = 0;
  for (; labels && labels[n]; n++)
    if (n >= MM_UPSTREAM_LABELS_MAX
        || !is_text (labels[n], MM_UPSTREAM_TEXT_MAX))
      return false;
  return true;
}

static bool
is_amount (int64_t amount)
{
  return amount >= 0 && amount <= MM_UPSTREAM_AMOUNT_MAX;
}

const char *
mm_upstream_info_invalid_field (const mm_upstream_info *u)
{
  const struct
  {
    const char *name;
    bool valid;
  } fields[] = {
    { "name", is_text (u->name, MM_UPSTREAM_TEXT_MAX) },
    { "address", is_address (u->addr) },
    { "service", is_text (u->service, MM_UPSTREAM_SERVICE_MAX) },
    { "data centre", is_text (u->datacentre, MM_UPSTREAM_TEXT_MAX) },
    { "labels", are_labels (u->labels) },
    { "capacity", is_amount (u->capacity.cpu_milli)
                      && is_amount (u->capacity.mem_mb)
                      && is_amount (u->capacity.gpus) },
    { "slots", is_amount (u->slots) },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (!fields[i].valid)
      return fields[i].name;
  return NULL;
}
