// The commands of the program. Each takes the parsed command line, prints its own findings and returns the exit status.
#pragma once
#include <cxxopts.hpp>

namespace calicostall {

int check_settings_command(const cxxopts::ParseResult& arguments);
int check_config_command(const cxxopts::ParseResult& arguments);
int forecast_command(const cxxopts::ParseResult& arguments);
int preview_command(const cxxopts::ParseResult& arguments);
int hollow_command(const cxxopts::ParseResult& arguments);

// The roles: each runs until SIGTERM or SIGINT.
int front_command(const cxxopts::ParseResult& arguments);
int control_command(const cxxopts::ParseResult& arguments);
int agent_command(const cxxopts::ParseResult& arguments);

}  // namespace calicostall
