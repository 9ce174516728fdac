#include "cmd/fetch.h"

#include <curl/curl.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 30000
};

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct GspanFetch *fetch = user;

  g_string_append_len (fetch->body, data, (gssize)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  static const char name[] = "X-Revision:";
  struct GspanFetch *fetch = user;
  size_t len = size * count;

  if (len > sizeof name && g_ascii_strncasecmp (data, name, sizeof name - 1) == 0)
    fetch->revision = g_ascii_strtoull (data + sizeof name - 1, NULL, 10);
  return len;
}

bool
gspan_fetch (struct GspanFetch *fetch, const char *method, const char *url, const char *body,
             struct GspanError *error)
{
  CURL *easy = curl_easy_init ();
  CURLcode code;

  fetch->status = 0;
  fetch->revision = 0;
  fetch->body = g_string_new (NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, fetch);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, fetch);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &fetch->status);
  curl_easy_cleanup (easy);
  if (code != CURLE_OK)
    return gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "%s: %s", url,
                            curl_easy_strerror (code));
  return true;
}

void
gspan_fetch_finish (struct GspanFetch *fetch)
{
  g_string_free (fetch->body, TRUE);
}
