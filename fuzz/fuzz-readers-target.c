#include "fuzz-readers.h"

#include "fb-policy.h"
#include "fb-status.h"
#include "internal/codec.h"
#include "internal/stream.h"

#include <stdlib.h>

static void
read_policy (const uint8_t *data, size_t size)
{
  fb_rec_file file = { (char *) "fuzz.ini", { (u_int) size, (char *) data } };
  FbPolicy *policy = NULL;
  fb_status_set_message ("%s", "");
  if (fb_policy_parse (0, &file, 1, &policy) == FB_POLICY_OK)
    fb_policy_free (policy);
  else if (fb_status_message ()[0] == '\0')
    abort (); /* an error without a message */
}

/* Checks that a decoded message can be encoded, to no more bytes than before. The result may be
 * shorter, because a string ends at its first NUL byte. */
static void
check_message (size_t len, const fb_msg *msg)
{
  GBytes *encoded = fb_codec_encode_msg (msg);
  if (encoded == NULL || g_bytes_get_size (encoded) > len)
    abort ();
  g_bytes_unref (encoded);
}

static void
read_messages (const uint8_t *data, size_t size)
{
  gsize offset = 0;
  fb_msg msg;
  while (offset < size)
    {
      gsize from = offset;
      if (!fb_codec_decode_msg (data, size, &offset, &msg))
        return;
      check_message (offset - from, &msg);
      fb_codec_clear_msg (&msg);
    }
}

static void
read_records (const uint8_t *data, size_t size)
{
  fb_record record;
  if (fb_codec_decode_record (data, size, &record))
    fb_codec_clear_record (&record);
  fb_rec_revision revision;
  if (fb_codec_decode_revision (data, size, &revision))
    fb_codec_clear_revision (&revision);
  FbStream *stream = fb_stream_new (0);
  FbStreamResult result = fb_stream_read (stream, 0, data, size, &record);
  if (result == FB_STREAM_OK || result == FB_STREAM_CLAIMED)
    fb_codec_clear_record (&record);
  fb_stream_free (stream);
}

void
fuzz_readers_run (const uint8_t *data, size_t size)
{
  if (size == 0)
    return;
  switch (data[0] % 3)
    {
    case 0:
      read_policy (data + 1, size - 1);
      break;
    case 1:
      read_messages (data + 1, size - 1);
      break;
    default:
      read_records (data + 1, size - 1);
      break;
    }
}
