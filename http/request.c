#include "http/request.h"

#include <string.h>

struct curl_slist *
gspan_http_set_request (CURL *easy, const struct GspanActionHttp *http)
{
  struct GspanStr body = gspan_str_from_bytes (http->body);
  struct curl_slist *fields = NULL;

  curl_easy_setopt (easy, CURLOPT_URL, http->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, http->method);
  if (strcmp (http->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (strcmp (http->method, "GET") != 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body.len > 0 ? body.data : "");
    }
  for (guint i = 0; i < http->headers.items->len; i++)
    fields = curl_slist_append (fields, g_ptr_array_index (http->headers.items, i));
  fields = curl_slist_append (fields, "Expect:");
  if (gspan_headers_get (&http->headers, "Content-Type").data == NULL)
    fields = curl_slist_append (fields, "Content-Type:");
  if (gspan_headers_get (&http->headers, "Accept").data == NULL)
    fields = curl_slist_append (fields, "Accept:");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, fields);
  return fields;
}
