/* mm_configuration: follows the stream of the configuration and the
   evacuations.  A version is never replaced by an older one, whatever the
   store answers.  */
#include "mm_configuration.h"

#include "config.h"
#include "mm_event.h"
#include "mm_stream.h"

struct mm_configuration
{
  mm_stream *stream;
  mm_routes *routes;           /* version in force, NULL: none was read yet */
  mm_evacuations *evacuations; /* not owned */
};

/* Applies a configuration that is newer than the one in force.  An older one
   is refused with a log line; the same version again is ignored.  */
static void
apply_config (mm_configuration *c, mm_routes *routes)
{
  if (c->routes && routes->version <= c->routes->version)
    {
      if (routes->version < c->routes->version)
        mm_log_event (MM_EV_CONFIG_REFUSED, MM_INT (routes->version),
                      MM_INT (c->routes->version));
      return;
    }
  mm_routes_unref (c->routes);
  c->routes = mm_routes_ref (routes);
  mm_log_event (MM_EV_CONFIG_APPLIED, MM_INT (c->routes->version),
                MM_INT (c->routes->n_routes));
}

/* A deleted configuration stays in force.  */
static void
on_item (void *ctx, const mm_stream_item *item)
{
  mm_configuration *c = ctx;
  if (item->routes)
    apply_config (c, item->routes);
  else
    mm_evacuations_read_item (c->evacuations, item);
}

static void
read_evacuations_to (mm_configuration *c, GHashTable *keys)
{
  mm_evacuations_read_to (c->evacuations, mm_stream_next_offset (c->stream),
                          mm_stream_known_as_of_ms (c->stream), keys);
}

static void
on_loaded (void *ctx, GHashTable *keys)
{
  read_evacuations_to (ctx, keys);
}

static void
on_changes (void *ctx, bool at_end)
{
  read_evacuations_to (ctx, NULL);
}

mm_configuration *
mm_configuration_create (const mm_store_port *store,
                         mm_evacuations *evacuations)
{
  mm_configuration *c = g_new0 (mm_configuration, 1);
  c->evacuations = evacuations;
  mm_stream_events ev = {
    .item = on_item, .loaded = on_loaded, .changes = on_changes, .ctx = c
  };
  c->stream
      = mm_stream_create (store, MM_STREAM_CONFIG, MM_CONFIG_WAIT_MS, &ev);
  return c;
}

void
mm_configuration_destroy (mm_configuration *c)
{
  if (!c)
    return;
  mm_stream_destroy (c->stream);
  mm_routes_unref (c->routes);
  g_free (c);
}

void
mm_configuration_tick (mm_configuration *c)
{
  mm_stream_tick (c->stream);
}

const mm_routes *
mm_configuration_routes (const mm_configuration *c)
{
  return c->routes;
}
