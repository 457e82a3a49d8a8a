//===- CurlHandles.h - Owners of libcurl's handles ---------------*- C++ -*-===//
#pragma once

#include <curl/curl.h>
#include <memory>

namespace pepperlug
{

// libcurl's handle types are all void, so each needs a deleter of its own name.
struct EasyDeleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct ListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct MultiDeleter {
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};

using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

} // namespace pepperlug
