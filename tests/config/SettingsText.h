#pragma once

#include <string>

/// @return a valid settings file of a host named host-1.
inline std::string goodSettings()
{
    return "[host]\n"
           "name = host-1\n"
           "data_centre = west-colombo\n"
           "[listen]\n"
           "callers = 127.0.0.1:8001\n"
           "operators = 127.0.0.1:8002\n"
           "peers = 127.0.0.1:8003\n"
           "gossip = 127.0.0.1:8003\n"
           "[platform]\n"
           "address = 127.0.0.1:9000\n"
           "[session]\n"
           "signing_key = 000102030405060708090a0b0c0d0e0f\n";
}
