/** @file library_answer_func.h Answers to callers that libmicrohttpd sends. */
#pragma once

#include "net/answer_counts_base.h"
#include "net/exchange_base.h"

#include <memory>
#include <microhttpd.h>

namespace bilberry {

/**
 * Passes an answer that has begun to the library, whose memory must have room for its head.
 * @param closes Whether the connection ends with the answer.
 * @pre The exchange's mutex is held.
 */
MHD_Result queueAnswer(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange,
                       bool closes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(exchange->mutex);

/** @return How an answer has ended, as the library says in @p code and as the exchange knows. */
AnswerEnd endOfAnswer(Exchange &exchange, MHD_RequestTerminationCode code);

} // namespace bilberry
