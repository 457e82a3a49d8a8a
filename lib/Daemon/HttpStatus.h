//===- HttpStatus.h - Status codes that the daemons use ----------*- C++ -*-===//
#pragma once

namespace pepperlug
{

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned MisdirectedRequest = 421;
constexpr unsigned Unprocessable = 422;
constexpr unsigned ServerErrors = 500; ///< the first of them
constexpr unsigned Unavailable = 503;

} // namespace pepperlug
