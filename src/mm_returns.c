/* mm_returns: a table of counts by name of the owner.  Most tasks are never
   returned, so it is created with the first return.  */
#include "mm_returns.h"

#include <string.h>

struct mm_returns
{
  GHashTable *counts; /* owner, "" for this instance -> count */
  const char *last;   /* key of the last owner */
};

static const char *
key_of (const char *owner)
{
  return owner ? owner : "";
}

uint32_t
mm_returns_add (mm_returns **returns, const char *owner)
{
  if (!*returns)
    {
      *returns = g_new (mm_returns, 1);
      (*returns)->counts
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  uint32_t n = mm_returns_count (*returns, owner) + 1;
  char *key = g_strdup (key_of (owner));
  g_hash_table_replace ((*returns)->counts, key, GUINT_TO_POINTER (n));
  (*returns)->last = key;
  return n;
}

uint32_t
mm_returns_count (const mm_returns *returns, const char *owner)
{
  return returns ? GPOINTER_TO_UINT (
             g_hash_table_lookup (returns->counts, key_of (owner)))
                 : 0;
}

bool
mm_returns_last_by (const mm_returns *returns, const char *owner)
{
  return returns && strcmp (returns->last, key_of (owner)) == 0;
}

void
mm_returns_clear (mm_returns **returns)
{
  if (!*returns)
    return;
  g_hash_table_destroy ((*returns)->counts);
  g_free (*returns);
  *returns = NULL;
}
