// The commands of the program. Each takes the parsed command line, prints its own findings and returns the exit status.
#pragma once
#include <cxxopts.hpp>

namespace calicostall {

int check_settings_command(const cxxopts::ParseResult& given);
int check_config_command(const cxxopts::ParseResult& given);
int forecast_command(const cxxopts::ParseResult& given);
int preview_command(const cxxopts::ParseResult& given);
int hollow_command(const cxxopts::ParseResult& given);

// The roles: each runs until SIGTERM or SIGINT.
int front_command(const cxxopts::ParseResult& given);
int control_command(const cxxopts::ParseResult& given);
int side_command(const cxxopts::ParseResult& given);

}  // namespace calicostall
