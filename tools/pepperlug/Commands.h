//===- Commands.h - The operators' commands ----------------------*- C++ -*-===//
#pragma once

#include "pepperlug/Tool.h"

namespace pepperlug
{

/// What a command was given on its command line and in its settings.
struct CommandContext {
    std::vector<std::string> words;
    std::vector<Address> control;
    std::string operatorName;
    std::string keyFile;
    std::string entry;
    std::string client;
    bool wait = false;
    bool json = false;
    Milliseconds timeout{};
    SteadyClock clock;
};

struct Command {
    const char *name;
    const char *usage;
    const char *help;
    ExitCode (*run)(CommandContext &context);
};

/// Throws InvalidInput or Error on bad settings.
CommandContext makeContext(const cxxopts::ParseResult &arguments);
const std::vector<Command> &commands();

ExitCode checkCommand(CommandContext &context);
ExitCode keygenCommand(CommandContext &context);
ExitCode proposeCommand(CommandContext &context);
ExitCode signCommand(CommandContext &context);
ExitCode rolloutCommand(CommandContext &context);
ExitCode statusCommand(CommandContext &context);
ExitCode drainCommand(CommandContext &context);
ExitCode undrainCommand(CommandContext &context);
ExitCode lookupCommand(CommandContext &context);
ExitCode replayCommand(CommandContext &context);
ExitCode explainCommand(CommandContext &context);

} // namespace pepperlug
