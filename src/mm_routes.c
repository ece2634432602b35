/* mm_routes: looks up a queue by host and longest path prefix.  */
#include "mm_routes.h"

#include <string.h>

mm_routes *
mm_routes_new (void)
{
  mm_routes *r = g_new0 (mm_routes, 1);
  r->refs = 1;
  return r;
}

mm_routes *
mm_routes_ref (mm_routes *r)
{
  r->refs++;
  return r;
}

void
mm_routes_unref (mm_routes *r)
{
  if (!r || --r->refs > 0)
    return;
  for (size_t i = 0; i < r->n_routes; i++)
    {
      g_free (r->routes[i].name);
      g_free (r->routes[i].host);
      g_free (r->routes[i].prefix);
      g_free (r->routes[i].service);
    }
  g_free (r->routes);
  g_free (r);
}

/* Compares host names without case; a port in the Host header is ignored.  */
static bool
host_matches (const char *route_host, const char *header)
{
  size_t n = strcspn (header, ":");
  return strlen (route_host) == n
         && g_ascii_strncasecmp (route_host, header, n) == 0;
}

const mm_route *
mm_routes_find (const mm_routes *r, const char *host, const char *path,
                const char **rest)
{
  const mm_route *best = NULL;
  size_t best_len = 0;
  for (size_t i = 0; i < r->n_routes; i++)
    {
      const mm_route *c = &r->routes[i];
      size_t len = strlen (c->prefix);
      if (host_matches (c->host, host) && strncmp (path, c->prefix, len) == 0
          && (!best || len > best_len))
        {
          best = c;
          best_len = len;
        }
    }
  if (best)
    *rest = path + best_len;
  return best;
}

const char *
mm_route_unserved_reason (const mm_route *route, const mm_submission *s)
{
  return route->needs_advice ? "queues with advice are not served"
                             : mm_submission_unsupported_reason (s);
}
