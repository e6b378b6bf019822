#include "platform/StoreCalls.h"

#include "platform/Fields.h"
#include "proxy/PromotionLeaseCodec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <strings.h>

namespace Auburnpost::Platform {

using Proxy::RowVersion;

namespace {

    using Json = nlohmann::json;

    constexpr auto leaseTable = "claims";
    /// The store answers within milliseconds when it is healthy, and within about a quarter of a second when it is
    /// slow.
    constexpr Duration callTimeout = std::chrono::milliseconds(900);

    constexpr auto eraHeader = "Store-Era";
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusPreconditionFailed = 412;
    constexpr int statusTooMany = 429;

    const char* nameOf(Proxy::StoreTable table)
    {
        constexpr const char* names[] { "op", "servers", "hosts" };
        return names[static_cast<std::size_t>(table)];
    }

    std::string percentEncode(const std::string& text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        constexpr unsigned base = 16;
        std::string escaped;
        for (const unsigned char letter : text) {
            if (std::isalnum(letter) || letter == '-' || letter == '.' || letter == '_')
                escaped += static_cast<char>(letter);
            else
                escaped.append({ '%', digits[letter / base], digits[letter % base] });
        }
        return escaped;
    }

    /// @throws std::invalid_argument for text that is not base64.
    std::string decodeBase64(const std::string& text)
    {
        constexpr std::size_t charactersPerGroup = 4;
        constexpr std::size_t bytesPerGroup = 3;
        std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
        const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        if (length < 0)
            throw std::invalid_argument("not base64");
        // EVP_DecodeBlock counts the padding as decoded bytes.
        const auto padding = text.ends_with("==") ? 2U : text.ends_with("=") ? 1U : 0U;
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

    std::string encodeBase64(const std::string& bytes)
    {
        constexpr std::size_t charactersPerGroup = 4;
        constexpr std::size_t bytesPerGroup = 3;
        std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1, '\0');
        const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

    /// @return the era that the reply states; zero if it states none, or none that can be read.
    Proxy::StoreEra eraOf(const PlatformReply& reply)
    {
        for (const auto& header : reply.headers) {
            if (strcasecmp(header.name.c_str(), eraHeader) == 0)
                return Proxy::StoreEra(readNumber(header.value).value_or(0));
        }
        return {};
    }

    RowVersion readVersion(const Json& json, Proxy::StoreEra era)
    {
        return RowVersion(json.at("RecordVersion").get<std::uint64_t>(), era);
    }

    Proxy::StoreRow readRow(const Json& json, Proxy::StoreEra era)
    {
        Proxy::StoreRow row;
        row.key = json.at("Key").get<std::string>();
        row.version = readVersion(json, era);
        row.isDeleted = json.value("Deleted", false);
        // A value that is not base64 is left empty, so that the decoder of the row reports an error with its key.
        if (!row.isDeleted) {
            try {
                row.value = decodeBase64(json.at("Value").get<std::string>());
            } catch (const std::exception&) {
                row.value.clear();
            }
        }
        return row;
    }

    tl::unexpected<Error> refused(const PlatformReply& reply, const char* step)
    {
        return fail(ErrorCode::PlatformRefused, step, "store", "status " + std::to_string(reply.status));
    }

    /// Bytes that are not UTF-8, as a foreign writer may have put into its row, are replaced, so that they hide no
    /// other row.
    /// @throws Json::exception for a body that is not JSON.
    Json parseBody(const std::string& body)
    {
        auto json = Json::parse(body, nullptr, false);
        if (!json.is_discarded())
            return json;
        const auto quoted = Json(body).dump(-1, ' ', false, Json::error_handler_t::replace);
        return Json::parse(Json::parse(quoted).get_ref<const std::string&>());
    }

    /// Decodes the reply to a call; an exception from the reader becomes an error.
    template <typename Value, typename Reader>
    Expected<Value> readReply(const Expected<PlatformReply>& reply, const char* step, Reader read)
    {
        if (!reply)
            return tl::unexpected(reply.error());
        if (reply->status != statusOk)
            return refused(*reply, step);
        try {
            return read(parseBody(reply->body), eraOf(*reply));
        } catch (const std::exception& problem) {
            return fail(ErrorCode::BadMessage, step, "store", problem.what());
        }
    }

    /// @return the fencing token for a version, which has to rise also when the numbers of a new era begin again.
    std::uint64_t fencingToken(const RowVersion& version)
    {
        constexpr unsigned numberBits = 40;
        return (version.era().value() << numberBits) + version.value();
    }

    Json rowKey(const Proxy::GroupName& group)
    {
        return { { "Table", leaseTable }, { "part", "" }, { "Key", group.value() } };
    }

} // namespace

PlatformCall makeTableReadCall(Proxy::StoreTable table, const std::string& fromKey, Duration timeout)
{
    PlatformCall call;
    call.path = std::string("/auburnpost/rows-get?Table=") + nameOf(table) + "&part=";
    if (!fromKey.empty())
        call.path += "&From=" + percentEncode(fromKey);
    call.timeout = timeout;
    return call;
}

PlatformCall makeTableFollowCall(Proxy::StoreTable table, RowVersion after, Duration wait, Duration timeout)
{
    PlatformCall call;
    call.path = std::string("/auburnpost/rows-feed?Table=") + nameOf(table) + "&after=" + std::to_string(after.value())
        + "&WaitMs=" + std::to_string(toMilliseconds(wait));
    call.timeout = timeout;
    return call;
}

PlatformCall makeHostWriteCall(const HostName& host, const std::string& value)
{
    const Json row { { "Table", nameOf(Proxy::StoreTable::Hosts) }, { "part", "" }, { "Key", host.value() },
        { "Value", encodeBase64(value) } };
    PlatformCall call;
    call.method = PlatformMethod::Post;
    call.path = "/auburnpost/rows-tx";
    call.body = Json { { "Upserts", Json::array({ row }) } }.dump();
    call.timeout = callTimeout;
    return call;
}

PlatformCall makeLeaseReadCall(const Proxy::GroupName& group)
{
    PlatformCall call;
    call.path = std::string("/auburnpost/rows-get?Table=") + leaseTable + "&part=&From=" + percentEncode(group.value())
        + "&Limit=1";
    call.timeout = callTimeout;
    return call;
}

PlatformCall makeLeaseWriteCall(const Proxy::GroupName& group, const Proxy::PromotionLease& lease, RowVersion expected)
{
    auto condition = rowKey(group);
    condition["RecordVersion"] = expected.value();
    auto row = rowKey(group);
    row["Value"] = encodeBase64(encodePromotionLease(lease));
    const Json body { { "Precondition", Json::array({ condition }) }, { "Upserts", Json::array({ row }) } };
    PlatformCall call;
    call.method = PlatformMethod::Post;
    call.path = "/auburnpost/rows-tx";
    call.body = body.dump();
    call.timeout = callTimeout;
    return call;
}

PlatformCall makePromotionCall(
    const Proxy::GroupName& group, const TargetName& target, const HostName& holder, RowVersion token, Duration timeout)
{
    PlatformCall call;
    call.method = PlatformMethod::Post;
    call.path = "/promotion";
    call.body = Json { { "Service", group.value() }, { "Id", target.value() } }.dump();
    call.timeout = timeout;
    call.headers = { { "X-Lease-Holder", holder.value() }, { "X-Fencing-Token", std::to_string(fencingToken(token)) } };
    return call;
}

Expected<Proxy::StorePage> readPage(const Expected<PlatformReply>& reply)
{
    if (reply && reply->status == statusGone) {
        Proxy::StorePage gone;
        gone.isHistoryUnavailable = true;
        gone.asOf = RowVersion(0, eraOf(*reply));
        return gone;
    }
    return readReply<Proxy::StorePage>(reply, "read rows", [](const Json& json, Proxy::StoreEra era) {
        Proxy::StorePage page;
        for (const auto& row : json.at("rows"))
            page.rows.push_back(readRow(row, era));
        page.asOf = readVersion(json, era);
        page.hasMore = json.value("HasMore", false);
        return page;
    });
}

Expected<Proxy::PromotionLeaseRow> readLeaseRow(const Proxy::GroupName& group, const Expected<PlatformReply>& reply)
{
    return readReply<Proxy::PromotionLeaseRow>(reply, "read claim", [&group](const Json& json, Proxy::StoreEra era) {
        Proxy::PromotionLeaseRow leaseRow;
        leaseRow.storeNowMs = json.at("NowMs").get<std::uint64_t>();
        for (const auto& encoded : json.at("rows")) {
            const auto row = readRow(encoded, era);
            if (row.key != group.value())
                continue;
            leaseRow.version = row.version;
            // An unreadable lease has no expiry time to wait for, so it is left empty and may be replaced.
            if (const auto decoded = Proxy::decodePromotionLease(row.value))
                leaseRow.lease = *decoded;
        }
        return leaseRow;
    });
}

Expected<std::optional<RowVersion>> readLeaseWrite(const Expected<PlatformReply>& reply)
{
    if (reply && reply->status == statusPreconditionFailed)
        return std::nullopt;
    return readReply<std::optional<RowVersion>>(
        reply, "write claim", [](const Json& json, Proxy::StoreEra era) { return readVersion(json, era); });
}

Proxy::PromotionOutcome readPromotionOutcome(const Expected<PlatformReply>& reply)
{
    if (reply && reply->status == statusOk)
        return Proxy::PromotionOutcome::Accepted;
    if (reply && reply->status == statusConflict)
        return Proxy::PromotionOutcome::NotRunning;
    const bool isRefused = reply && reply->status == statusTooMany;
    if (isRefused || (!reply && reply.error().code == ErrorCode::NotSent))
        return Proxy::PromotionOutcome::NotDone;
    return Proxy::PromotionOutcome::Unanswered;
}

} // namespace Auburnpost::Platform
