/** @file control_transfer_base.h HTTP transfer of an order, an inspection or a call to the
 * infrastructure; used only by TargetClient. */
#pragma once

#include "net/edge_type.h"
#include "net/grammar_func.h"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace bilberry {

/** Sends one order or inspection to a target, or one call to the infrastructure, on a connection of
 * its own, and reads the answer. */
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
    /**
     * Prepares a call to the infrastructure; TargetClient starts it.
     * @param address "ip:port" of the infrastructure's interface.
     * @param edge Its encodeDutyCall must not be null.
     * @param holder Id of the host that makes the call.
     */
    static std::unique_ptr<ControlTransfer> makeDutyCall(const DutyCall &call,
                                                         const std::string &address,
                                                         const Edge &edge,
                                                         const std::string &holder, TimePoint now);
    ~ControlTransfer();
    ControlTransfer(const ControlTransfer &) = delete;
    ControlTransfer &operator=(const ControlTransfer &) = delete;

    CURL *handle() const { return this->easy; }

    /** @param code Result of libcurl. @return The target's reply, or that its outcome is unknown.
     */
    ControlEvent conclude(CURLcode code, const Edge &edge, TimePoint now);

private:
    using Call = std::variant<SendOrder, InspectTarget, DutyCall>;

    ControlTransfer(Call call, const std::string &url);
    /** Sets method, headers and socket options of a request that must not be sent twice or late. */
    void setRequest(EncodedOrder encoded);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onHeader(char *line, std::size_t size, std::size_t count, void *self);
    static std::size_t onUpload(char *out, std::size_t size, std::size_t count, void *self);
    static int beforeSending(void *self, char *, char *, int, int);
    bool isHeldBack(const SendOrder &order, TimePoint now);
    bool isHeldBack(const DutyCall &call, TimePoint now);
    nlohmann::json describe() const;
    DutyReply toDutyReply(CURLcode code, long status) const;
    ControlEvent concludeDutyCall(CURLcode code, long status) const;
    OrderReply toOrderReply(CURLcode code, long status) const;
    ControlEvent concludeOrder(CURLcode code, long status, TimePoint now) const;

    Call call;
    std::string body; ///< Body of the request.
    std::size_t uploaded = 0; ///< Bytes of @c body passed to libcurl.
    std::string answer; ///< Body of the answer, as far as received.
    std::size_t headBytes = 0; ///< Bytes of the answer's header lines so far.
    AnswerLines answerLines; ///< Status line and headers of the answer.
    CURL *easy;
    curl_slist *headers = nullptr;
    bool pastSendBy = false; ///< Not sent: connected only after the sendBy.
    std::optional<GrammarFault> fault; ///< Of the order's head; such an order is not sent.
};

/** Logs @p event about a call to the infrastructure. */
void logDutyCall(const char *event, const DutyCall &call, const nlohmann::json &fields = {});

/** Logs @p event about an order, with the order's age at @p now. */
void logOrder(const char *event, const SendOrder &order, TimePoint now);

} // namespace bilberry
