#include "config/SettingsKeys.h"

namespace Auburnpost::Config {

namespace {

    template <typename Value> struct UnitOf;
    template <> struct UnitOf<Duration> {
        static constexpr std::string_view name = "duration";
    };
    template <> struct UnitOf<ByteCount> {
        static constexpr std::string_view name = "size";
    };
    template <> struct UnitOf<std::size_t> {
        static constexpr std::string_view name = "count";
    };
    template <> struct UnitOf<SocketAddress> {
        static constexpr std::string_view name = "IP:PORT";
    };
    template <> struct UnitOf<std::vector<SocketAddress>> {
        static constexpr std::string_view name = "list of IP:PORT";
        static constexpr bool isList = true;
    };
    template <> struct UnitOf<HostName> {
        static constexpr std::string_view name = "name";
    };
    template <> struct UnitOf<DataCentreName> {
        static constexpr std::string_view name = "name";
    };
    template <> struct UnitOf<LogLevel> {
        static constexpr std::string_view name = "debug, info, warn, error";
    };

    template <typename Value> constexpr bool isListValue = requires
    {
        UnitOf<Value>::isList;
    };

    template <auto section, auto member> ValueCheck readMember(std::string_view text, Settings& settings)
    {
        return parseValue(text, (settings.*section).*member);
    }

    template <std::string SessionSettings::*member> ValueCheck readSigningKey(std::string_view text, Settings& settings)
    {
        return parseSigningKey(text, settings.session.*member);
    }

    template <auto section, auto member> ValueCheck readPath(std::string_view text, Settings& settings)
    {
        (settings.*section).*member = text;
        return {};
    }

    /// Creates the keys of one section.
    /// @tparam section the member of Settings that stores the section.
    template <auto section> struct SectionKeys {
        std::string_view name;

        template <auto member>
        SettingsKey key(
            std::string_view key, std::optional<std::string_view> defaultText, std::string_view meaning) const
        {
            using Value = std::remove_reference_t<decltype((std::declval<Settings&>().*section).*member)>;
            return { name, key, UnitOf<Value>::name, defaultText, meaning, isListValue<Value>,
                readMember<section, member> };
        }
    };

    using KeyList = std::vector<SettingsKey>;

    void addIdentityKeys(KeyList& keys)
    {
        const SectionKeys<&Settings::host> host { "host" };
        keys.push_back(host.key<&HostSettings::name>("name", std::nullopt, "unique among all hosts"));
        keys.push_back(
            host.key<&HostSettings::dataCentre>("data_centre", std::nullopt, "data centre in which the host runs"));

        const SectionKeys<&Settings::listen> listen { "listen" };
        keys.push_back(listen.key<&ListenSettings::callers>("callers", std::nullopt, "HTTP address for callers"));
        keys.push_back(listen.key<&ListenSettings::operators>(
            "operators", std::nullopt, "HTTP address for operators and the balancer's readiness check"));
        keys.push_back(
            listen.key<&ListenSettings::peers>("peers", std::nullopt, "TCP address for requests between hosts"));
        keys.push_back(
            listen.key<&ListenSettings::gossip>("gossip", std::nullopt, "UDP address for membership gossip"));
    }

    void addPlatformKeys(KeyList& keys)
    {
        const SectionKeys<&Settings::platform> platform { "platform" };
        keys.push_back(
            platform.key<&PlatformSettings::address>("address", std::nullopt, "address of the platform's service"));
        keys.push_back(platform.key<&PlatformSettings::callTimeout>(
            "call_timeout", "1s", "time limit of one call to the platform"));
        keys.push_back(platform.key<&PlatformSettings::configPollInterval>(
            "config_poll_interval", "2s", "mean interval between two reads of the document's version"));
        keys.push_back(platform.key<&PlatformSettings::configPollBackoff>("config_poll_backoff", "15s",
            "maximum interval between two reads of the document's version while the platform is unavailable"));
        keys.push_back(platform.key<&PlatformSettings::hostListInterval>(
            "host_list_interval", "10s", "mean interval between two reads of the host list"));

        const SectionKeys<&Settings::seeds> seeds { "seeds" };
        keys.push_back(seeds.key<&SeedSettings::hosts>(
            "hosts", "", "gossip addresses of hosts to contact when the platform's host list is unavailable"));
    }

    void addSessionKeys(KeyList& keys)
    {
        keys.push_back({ "session", "signing_key", "hexadecimal, at least 16 bytes", "",
            "key that signs session tokens; identical on all hosts", false,
            readSigningKey<&SessionSettings::signingKey> });
        keys.push_back({ "session", "signing_key_file", "path", "",
            "file with the signing key in hexadecimal, used instead of signing_key", false,
            readPath<&Settings::session, &SessionSettings::signingKeyFile> });
        keys.push_back({ "session", "previous_key", "hexadecimal, at least 16 bytes", "",
            "previous key whose tokens are still accepted while the signing key is being replaced", false,
            readSigningKey<&SessionSettings::previousKey> });
    }

    void addLimitKeys(KeyList& keys)
    {
        const SectionKeys<&Settings::limits> limits { "limits" };
        keys.push_back(limits.key<&LimitSettings::maxCallers>(
            "max_callers", "4096", "maximum number of concurrent caller connections"));
        keys.push_back(limits.key<&LimitSettings::memory>("memory", "256MB", "memory that the process may use"));
        keys.push_back(limits.key<&LimitSettings::bodyBytes>("body_bytes", "1MB", "maximum size of a request body"));
        keys.push_back(
            limits.key<&LimitSettings::headerBytes>("header_bytes", "32KB", "maximum size of a request header"));
        keys.push_back(limits.key<&LimitSettings::defaultTimeout>(
            "default_timeout", "5s", "timeout of a request that does not specify one"));
        keys.push_back(
            limits.key<&LimitSettings::maxTimeout>("max_timeout", "60s", "maximum timeout that a caller may specify"));
        keys.push_back(limits.key<&LimitSettings::queueLength>(
            "queue_length", "1024", "maximum number of requests queued on this host, over all organisations"));
        keys.push_back(limits.key<&LimitSettings::transactionIdle>(
            "transaction_idle", "3s", "maximum time for which a transaction may stay open without a statement"));
        keys.push_back(limits.key<&LimitSettings::transactionMax>(
            "transaction_max", "60s", "maximum time for which a transaction may stay open"));
        keys.push_back(limits.key<&LimitSettings::stopTimeout>("stop_timeout", "30s",
            "time limit for draining requests in flight and open transactions during a planned shutdown"));
    }

    void addControlKeys(KeyList& keys)
    {
        const SectionKeys<&Settings::group> group { "group" };
        keys.push_back(group.key<&GroupSettings::probeInterval>(
            "probe_interval", "100ms", "interval between two probes of a target"));
        keys.push_back(group.key<&GroupSettings::suspectAfter>(
            "suspect_after", "600ms", "time without a response from a primary after which a watcher suspects it"));
        keys.push_back(group.key<&GroupSettings::operationTimeout>(
            "operation_timeout", "2s", "time limit of one group operation"));
        keys.push_back(group.key<&GroupSettings::rankSpacing>(
            "rank_spacing", "300ms", "delay between the failover attempts of watchers of consecutive rank"));

        const SectionKeys<&Settings::member> member { "member" };
        keys.push_back(member.key<&MemberSettings::gossipInterval>(
            "gossip_interval", "100ms", "interval between two gossip rounds"));
        keys.push_back(member.key<&MemberSettings::probePeriod>(
            "probe_period", "400ms", "interval between two probes, and time limit for the response to a probe"));
        keys.push_back(member.key<&MemberSettings::suspectTimeout>("suspect_timeout", "1500ms",
            "time within which a suspected host can refute the suspicion before it is declared dead"));
    }

    void addLogKeys(KeyList& keys)
    {
        const SectionKeys<&Settings::log> log { "log" };
        keys.push_back(log.key<&LogSettings::level>("level", "info", "events below this level are not logged"));
        keys.push_back({ "log", "file", "path", "", "file to append the log to; the console if not set", false,
            readPath<&Settings::log, &LogSettings::file> });
    }

    KeyList makeKeys()
    {
        KeyList keys;
        addIdentityKeys(keys);
        addPlatformKeys(keys);
        addSessionKeys(keys);
        addLimitKeys(keys);
        addControlKeys(keys);
        addLogKeys(keys);
        return keys;
    }

    ValueCheck checkCondition(bool holds, std::string message)
    {
        if (holds)
            return {};
        return tl::unexpected(std::move(message));
    }

    ValueCheck checkSigningKey(const Settings& settings)
    {
        const auto& session = settings.session;
        return checkCondition(session.signingKey.empty() != session.signingKeyFile.empty(),
            "set exactly one of signing_key and signing_key_file");
    }

    ValueCheck checkTimeouts(const Settings& settings)
    {
        return checkCondition(
            settings.limits.defaultTimeout <= settings.limits.maxTimeout, "must not be above limits.max_timeout");
    }

    ValueCheck checkTransactions(const Settings& settings)
    {
        return checkCondition(settings.limits.transactionIdle <= settings.limits.transactionMax,
            "must not be above limits.transaction_max");
    }

    ValueCheck checkPollIntervals(const Settings& settings)
    {
        return checkCondition(settings.platform.configPollInterval <= settings.platform.configPollBackoff,
            "must not be above platform.config_poll_backoff");
    }

    ValueCheck checkProbeInterval(const Settings& settings)
    {
        return checkCondition(
            settings.group.probeInterval < settings.group.suspectAfter, "must be below group.suspect_after");
    }

    ValueCheck checkAddresses(const Settings& settings)
    {
        const auto& listen = settings.listen;
        return checkCondition(
            listen.callers != listen.operators && listen.callers != listen.peers && listen.operators != listen.peers,
            "callers, operators and peers must have different addresses");
    }

} // namespace

const std::vector<SettingsKey>& settingsKeys()
{
    static const KeyList keys = makeKeys();
    return keys;
}

const std::vector<SettingsRule>& settingsRules()
{
    static const std::vector<SettingsRule> rules {
        { "listen", "callers", checkAddresses },
        { "platform", "config_poll_interval", checkPollIntervals },
        { "session", "signing_key", checkSigningKey },
        { "limits", "default_timeout", checkTimeouts },
        { "limits", "transaction_idle", checkTransactions },
        { "group", "probe_interval", checkProbeInterval },
    };
    return rules;
}

} // namespace Auburnpost::Config
