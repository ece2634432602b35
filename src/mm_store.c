/* mm_store: helpers for all modules that use the store.  */
#include "mm_store.h"

#include "mm_event.h"

void
mm_stream_item_clear (gpointer item)
{
  mm_stream_item *i = item;
  g_free (i->key);
  mm_routes_unref (i->routes);
  g_free (i->evacuated);
  mm_upstream_info_free (i->upstream);
}

mm_time_ms
mm_store_timeout_ms (const mm_store_port *port, mm_time_ms base_ms,
                     size_t answer_bytes)
{
  if (port->link_mbps <= 0)
    return base_ms;
  double bits_per_ms = port->link_mbps * 1000;
  return base_ms + (mm_time_ms)(2 * 8 * (double)answer_bytes / bits_per_ms);
}

void
mm_store_record_contact (bool *in_contact, bool ok, const char *what,
                         const char *why)
{
  if (*in_contact == ok)
    return;
  *in_contact = ok;
  if (ok)
    mm_log_event (MM_EV_STORE_REACHED, MM_TEXT (what));
  else
    mm_log_event (MM_EV_STORE_LOST, MM_TEXT (what), MM_TEXT (why));
}

void
mm_record_clear (gpointer record)
{
  mm_record *r = record;
  g_clear_pointer (&r->key, g_free);
  g_clear_pointer (&r->value, g_bytes_unref);
}
