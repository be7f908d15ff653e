#include "shared/settings/address.hpp"

#include <cstdlib>

namespace calicostall {

namespace {

constexpr int max_port = 65535;

}  // namespace

std::string checked_address(std::string address, const std::string& location, Findings& findings) {
    const size_t colon = address.rfind(':');
    const bool has_port = colon != std::string::npos;
    const int port = has_port ? std::atoi(address.c_str() + colon + 1) : 0;
    if (!has_port || colon == 0 || port <= 0 || port > max_port)
        findings.add(location, fmt::format("'{}' is no address of the form HOST:PORT", address));
    return address;
}

std::string address_host(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

}  // namespace calicostall
