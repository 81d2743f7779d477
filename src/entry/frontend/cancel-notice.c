/* An owner that the store rejects stays the owner for some seconds, as long as a majority of its
 * workers answers.  It learns of a cancel that another daemon has stored only from that daemon, so
 * the notice is repeated. */
#include "cancel-notice.h"

#include "src/entry/entry-private.h"

#define RETRY_MS 250
/* By then an owner that the store rejects has stepped down, unless other daemons report an outage
 * of the store, in which no further cancels are stored. */
#define RETRY_PERIOD_MS 10000

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  char *key;
  GBytes *value;
  uint64_t until_ms; /* it is not repeated after this time */
} CancelNotice;

static void send_notice (CancelNotice *notice);

static gboolean
on_retry (gpointer data)
{
  send_notice (data);
  return G_SOURCE_REMOVE;
}

static void
on_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  CancelNotice *notice = data;
  gboolean is_applied = peer_reply != NULL && peer_reply->type == FB_REPLY_STORED;
  if (!is_applied && fb_clock_ms () < notice->until_ms)
    {
      fb_group_refresh_owners (notice->entry->group);
      g_timeout_add (RETRY_MS, on_retry, notice);
      return;
    }
  g_bytes_unref (notice->value);
  g_free (notice->key);
  g_free (notice);
}

static void
send_notice (CancelNotice *notice)
{
  fb_peers_notify_stored (notice->entry, notice->partition, notice->key, notice->value, on_reply,
                          notice);
}

void
fb_cancel_notice_send (FbEntryDaemon *entry, uint32_t partition, const char *key, GBytes *value)
{
  CancelNotice *notice = g_new0 (CancelNotice, 1);
  notice->entry = entry;
  notice->partition = partition;
  notice->key = g_strdup (key);
  notice->value = g_bytes_ref (value);
  notice->until_ms = fb_clock_ms () + RETRY_PERIOD_MS;
  send_notice (notice);
}
