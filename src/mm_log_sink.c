/* mm_log_sink: a bounded buffer for non-blocking output of log lines.

   When nothing reads standard output any more, its pipe fills up.  A blocking
   write would then stop the process, and its callers would get no answers.
   With this module the buffer fills up instead, and further lines are dropped
   and counted.  */
#include "mm_log_sink.h"

#include "config.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <unistd.h>

static int sink_fd = -1;   /* output, -1 before mm_log_sink_open() */
static int old_flags;      /* of sink_fd, before it was set non-blocking */
static GByteArray *buffer; /* lines that are not written yet */
static uint64_t dropped;   /* lines dropped because the buffer was full */

void
mm_log_sink_open (int fd)
{
  sink_fd = fd;
  old_flags = fcntl (fd, F_GETFL);
  if (old_flags >= 0)
    (void)fcntl (fd, F_SETFL, old_flags | O_NONBLOCK);
  if (!buffer)
    buffer = g_byte_array_sized_new (MM_LOG_FLUSH_BYTES * 2);
}

void
mm_log_sink_flush (void)
{
  guint written = 0;
  while (buffer && written < buffer->len)
    {
      ssize_t n
          = write (sink_fd, buffer->data + written, buffer->len - written);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        {
          /* The output has failed for good, so the buffer is discarded.  */
          written = buffer->len;
          break;
        }
      written += (guint)n;
    }
  if (written)
    g_byte_array_remove_range (buffer, 0, written);
}

bool
mm_log_sink_put (const char *line, size_t len)
{
  if (!buffer)
    return false;
  if (buffer->len + len + 1 > MM_LOG_BUFFER_BYTES)
    {
      dropped++;
      return false;
    }
  g_byte_array_append (buffer, (const guint8 *)line, (guint)len);
  g_byte_array_append (buffer, (const guint8 *)"\n", 1);
  if (buffer->len >= MM_LOG_FLUSH_BYTES)
    mm_log_sink_flush ();
  return true;
}

uint64_t
mm_log_sink_dropped (void)
{
  return dropped;
}

void
mm_log_sink_close (void)
{
  mm_log_sink_flush ();
  if (sink_fd >= 0 && old_flags >= 0)
    (void)fcntl (sink_fd, F_SETFL, old_flags);
}
