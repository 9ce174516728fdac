#pragma once

#include <curl/curl.h>

#include "board/message.h"

/*
 * Sets method, URL, header lines and body of HTTP on EASY, as they are to go over the wire. Returns
 * the list of header lines. HTTP's body and the list have to last as long as EASY uses them.
 */
struct curl_slist *gspan_http_set_request (CURL *easy, const struct GspanActionHttp *http);
