/** @file control_transfer_base.h HTTP transfer of an order or an inspection; used only by
 * TargetClient. */
#pragma once

#include "net/edge_type.h"
#include "net/grammar_func.h"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace bilberry {

/** Sends one order or inspection to a target on a connection of its own, and reads the answer. */
class ControlTransfer
{
public:
    /**
     * Prepares an order; TargetClient starts it.
     * @param holder Id of the host that sends the order.
     */
    static std::unique_ptr<ControlTransfer> makeOrder(const SendOrder &order, const Edge &edge,
                                                      const std::string &holder, TimePoint now);
    /** Prepares an inspection. @param path Path at which the target reports its orders. */
    static std::unique_ptr<ControlTransfer> makeInspection(const InspectTarget &inspection,
                                                           const std::string &path);
    ~ControlTransfer();
    ControlTransfer(const ControlTransfer &) = delete;
    ControlTransfer &operator=(const ControlTransfer &) = delete;

    CURL *handle() const { return this->easy; }

    /** @param code Result of libcurl. @return The target's reply, or that its outcome is unknown.
     */
    ControlEvent conclude(CURLcode code, const Edge &edge, TimePoint now);

private:
    ControlTransfer(std::variant<SendOrder, InspectTarget> call, const std::string &url);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onHeader(char *line, std::size_t size, std::size_t count, void *self);
    static int beforeSending(void *self, char *, char *, int, int);
    OrderReply toOrderReply(CURLcode code, long status) const;
    ControlEvent concludeOrder(CURLcode code, long status, TimePoint now) const;

    std::variant<SendOrder, InspectTarget> call;
    std::string body; ///< Body of the request.
    std::string answer; ///< Body of the answer, as far as received.
    std::size_t headBytes = 0; ///< Bytes of the answer's header lines so far.
    AnswerLines answerLines; ///< Status line and headers of the answer.
    CURL *easy;
    curl_slist *headers = nullptr;
    bool pastSendBy = false; ///< Not sent: connected only after the order's sendBy.
    std::optional<GrammarFault> fault; ///< Of the order's head; such an order is not sent.
};

/** Logs @p event about an order, with the order's age at @p now. */
void logOrder(const char *event, const SendOrder &order, TimePoint now);

} // namespace bilberry
